//! The check whether two nodes reach each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Asks a voter for an echo.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Probe {
    /// The asking node's heartbeat address. The echo goes there instead of to the probe's source
    /// address, because it must show that the address given to other nodes works.
    pub reply_to: SocketAddr,
    /// When the probe was sent, by the asking node's own clock in nanoseconds. The echo returns it,
    /// so that the asking node can tell the age of a late echo; no other node reads it.
    pub sent_at: u64,
}
