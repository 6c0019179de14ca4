//! The whole report.

use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::time::WallTime;
use serde::Serialize;

use super::ServiceBurn;
use super::ServiceShape;

/// Is everything that the report shows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct BurnReport {
    /// The environment.
    pub environment: EnvironmentName,
    /// The first reading.
    pub from: WallTime,
    /// The last reading.
    pub to: WallTime,
    /// The nodes seen.
    pub nodes: usize,
    /// The restarts of nodes seen.
    pub restarts: usize,
    /// Each service in all zones, then in each.
    pub services: Vec<ServiceBurn>,
    /// How work and slices were placed.
    pub shapes: Vec<ServiceShape>,
}
