//! The log service's settings.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use quetzalrack_core::time::Milliseconds;
use serde::Deserialize;
use serde::Serialize;

/// Is the JSON settings file of `quetzalrack-log`; every field has a default.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Where to listen.
    pub address: IpAddr,
    /// The port; zero lets the host choose.
    pub port: u16,
    /// How many records a stream keeps.
    pub keep_records: usize,
    /// How long a record is kept; none keeps it until the count is reached.
    pub keep_ms: Option<Milliseconds>,
    /// How many appends a second all streams together take.
    pub appends_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            port: 0,
            keep_records: 100_000,
            keep_ms: None,
            appends_per_second: 400,
        }
    }
}
