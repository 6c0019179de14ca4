//! One route of the operators' configuration.

use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use serde::Deserialize;
use serde::Serialize;

use super::WeightedService;
use super::WorkKind;

/// Says what happens to requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host of its requests.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// The services that serve it, each with its weight; one at least.
    pub services: Vec<WeightedService>,
    /// Whether its requests may run more than once.
    pub kind: WorkKind,
    /// The longest time until an answer, if the operators gave one.
    pub timeout: Option<Duration>,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// How many backend servers one request may be sent to.
    pub attempts: u32,
    /// Its rank; 0 goes first.
    pub rank: u32,
}
