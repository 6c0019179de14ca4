//! How evenly and how steadily a service's work was placed.

use quetzalrack_core::ids::ServiceName;
use serde::Serialize;

use super::BurnPoint;
use crate::ledger::ServiceMoves;

/// Is the imbalance, churn and unavailable time of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ServiceShape {
    /// The service.
    pub service: ServiceName,
    /// The most loaded backend server's requests over the mean; 1 is even.
    pub imbalance: f64,
    /// The backend servers that got requests.
    pub servers: usize,
    /// Changes of ownership.
    pub moves: ServiceMoves,
    /// The burn rate over time.
    pub course: Vec<BurnPoint>,
}
