//! A backend server's announcement to the node beside it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::ServerState;
use crate::ids::ConnectionCount;
use crate::ids::Incarnation;
use crate::ids::ServerName;
use crate::ids::ServiceName;
use crate::ids::SlotCount;

/// Is sent by a backend server to the node beside it, at start and then every half second; the
/// system has no other list of backend servers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its name.
    pub server: ServerName,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its incarnation, which changes when it restarts.
    pub incarnation: Incarnation,
    /// How many requests it processes concurrently.
    pub slots: SlotCount,
    /// How many connections it accepts.
    pub connections: ConnectionCount,
    /// Whether it refuses requests under an older fence.
    pub checks_fence: bool,
    /// Its condition.
    pub state: ServerState,
    /// The share of its slots that it says are busy, from 0 to 1.
    pub reported_load: f32,
}
