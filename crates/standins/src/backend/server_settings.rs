//! A backend server's settings.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use quetzalrack_core::ids::ConnectionCount;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::SlotCount;
use quetzalrack_core::time::Milliseconds;
use serde::Deserialize;
use serde::Serialize;

use super::ServiceTime;

/// Is the JSON settings file of `quetzalrack-server`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSettings {
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its name.
    pub server: ServerName,
    /// The admin address of the node beside it; none announces nowhere.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// Where to listen.
    #[serde(default = "default_address")]
    pub address: IpAddr,
    /// The port; zero lets the host choose.
    #[serde(default)]
    pub port: u16,
    /// How many requests it works on at once when warm.
    pub slots: SlotCount,
    /// How many connections it announces to accept.
    pub connections: ConnectionCount,
    /// How many requests at once it bears while cold.
    pub cold_slots: SlotCount,
    /// How long it stays cold when it is not overloaded.
    pub warm_up_ms: Milliseconds,
    /// Whether it starts cold.
    #[serde(default = "default_cold")]
    pub starts_cold: bool,
    /// What the first request of a connection costs in addition.
    #[serde(default)]
    pub connect_cost_ms: Milliseconds,
    /// What an answer about health or load costs.
    #[serde(default)]
    pub probe_cost_ms: Milliseconds,
    /// Whether it refuses an older fence.
    #[serde(default)]
    pub checks_fence: bool,
    /// How long its work takes.
    #[serde(default)]
    pub service_time: ServiceTime,
    /// How far its load report lags behind.
    #[serde(default)]
    pub load_lag_ms: Milliseconds,
    /// The size of an answer in bytes, unless the request's `bytes` parameter names another.
    #[serde(default = "default_body")]
    pub body_bytes: u64,
    /// Seeds every random choice.
    #[serde(default)]
    pub seed: u64,
}

fn default_address() -> IpAddr {
    IpAddr::V4(Ipv4Addr::LOCALHOST)
}

fn default_cold() -> bool {
    true
}

fn default_body() -> u64 {
    1_024
}
