//! What a backend server says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::Handover;
use super::HeldRange;
use super::KeyRange;
use super::ServerIncarnation;

/// Is a range that a backend server has released.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReleasedRange {
    /// The keys.
    pub keys: KeyRange,
    /// What the next holder needs to serve them at full speed.
    pub handover: Handover,
}

/// Is one heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerHeartbeat {
    /// The server's incarnation that sent it.
    pub incarnation: ServerIncarnation,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it has announced that it will leave.
    pub draining: bool,
    /// How long it stays cold.
    pub cold: Duration,
    /// Rises with every heartbeat of an incarnation, so that late ones are recognised.
    pub sequence: u64,
    /// What it holds or is still working on.
    pub holds: Vec<HeldRange>,
    /// What it has released since its last acknowledged heartbeat.
    pub released: Vec<ReleasedRange>,
}
