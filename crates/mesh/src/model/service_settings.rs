//! What the operators say of a service.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Granting;

/// Describes the backend servers of a service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSettings {
    /// The path that tells a server's health.
    pub health_path: String,
    /// How many connections a server accepts.
    pub connections: u32,
    /// How long a server stays cold after its start.
    pub cold_time: Duration,
    /// How many requests a second a cold server bears; none is said for a service without cold
    /// start.
    pub cold_rate: Option<f64>,
    /// Whether each key has one owner.
    pub keyed: bool,
    /// How its servers are granted keys; the host's settings decide where nothing is said.
    pub granting: Option<Granting>,
}
