//! Services of a route, with their weights.

use quetzalrack_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share is this over the sum of the route's weights.
    pub weight: u32,
}
