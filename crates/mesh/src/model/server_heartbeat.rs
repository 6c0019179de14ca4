//! Heartbeats of backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::Handover;
use super::HeldRange;
use super::KeyRange;
use super::ServerIncarnation;

/// A range that a backend server has released.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReleasedRange {
    /// The keys.
    pub keys: KeyRange,
    /// The token with which the next holder serves them at full speed.
    pub handover: Handover,
}

/// A heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// The incarnation of the server that sent it.
    pub incarnation: ServerIncarnation,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// Whether it has announced that it will leave.
    pub draining: bool,
    /// How much longer it stays cold.
    pub cold: Duration,
    /// Rises with every heartbeat of an incarnation, so late heartbeats are recognised.
    pub sequence: u64,
    /// Ranges that it holds, or whose requests it still processes.
    pub holds: Vec<HeldRange>,
    /// Ranges that it has released since its last acknowledged heartbeat.
    pub released: Vec<ReleasedRange>,
}
