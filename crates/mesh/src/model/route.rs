//! Routes of the operators' configuration.

use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use serde::Deserialize;
use serde::Serialize;

use super::RequestKind;
use super::WeightedService;

/// How requests to one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: RouteName,
    /// The host of its requests.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// The services that serve it, with their weights; at least one.
    pub services: Vec<WeightedService>,
    /// Whether its requests may run more than once.
    pub kind: RequestKind,
    /// The time limit for a response, if the operators set one.
    pub timeout: Option<Duration>,
    /// The target time for a response.
    pub objective: Duration,
    /// The number of backend servers to which one request may be sent.
    pub attempts: u32,
    /// The priority of its requests; 0 is the most urgent.
    pub rank: u32,
}
