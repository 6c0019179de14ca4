//! The question whether two nodes reach each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Asks a voter for an echo.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Probe {
    /// Where the asking node takes datagrams. The echo goes there and not to where the probe came
    /// from, since it must show that the address works which others are told.
    pub reply_to: SocketAddr,
    /// The asking node's own clock when it asked, in nanoseconds. The echo brings it back, so that
    /// a late echo shows its age; nobody else reads it.
    pub sent_at: u64,
}
