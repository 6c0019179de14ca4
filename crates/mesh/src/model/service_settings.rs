//! Settings of a service in the operators' configuration.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::Granting;

/// Settings of a service's backend servers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceSettings {
    /// The path of a server's health check.
    pub health_path: String,
    /// The number of connections that a server accepts.
    pub connections: u32,
    /// How long a server stays cold after its start.
    pub cold_time: Duration,
    /// The requests per second that a cold server can serve; `None` for a service without cold starts.
    pub cold_rate: Option<f64>,
    /// Whether each key has one owner.
    pub keyed: bool,
    /// How its servers are granted keys; `None` for the way in the host's settings.
    pub granting: Option<Granting>,
}
