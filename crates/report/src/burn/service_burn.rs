//! The burn of one service, in all zones or in one.

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;
use serde::Serialize;

use super::FaultShare;
use super::WindowBurn;

/// Is what callers of one service got, against what they were promised.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: ServiceName,
    /// The availability zone of the nodes that took the requests; none stands for all.
    pub zone: Option<ZoneName>,
    /// The promised share of good requests in percent, weighted by the requests of each route.
    pub objective: f64,
    /// The requests.
    pub requests: u64,
    /// The share of good ones in percent.
    pub good: f64,
    /// What is left of the error budget in percent; negative when overspent.
    pub left: f64,
    /// The fast pair of windows.
    pub fast: WindowBurn,
    /// The slow pair of windows.
    pub slow: WindowBurn,
    /// The faults, the worst first.
    pub faults: Vec<FaultShare>,
    /// Half of the answers took at most so many milliseconds.
    pub p50_ms: f64,
    /// 99 in 100 answers took at most so many milliseconds.
    pub p99_ms: f64,
}
