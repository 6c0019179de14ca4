//! The description of a node's backend server.

use serde::Deserialize;
use serde::Serialize;

use crate::model::ServerIncarnation;

/// What other nodes know of a node's backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerInfo {
    /// The server and its current process.
    pub incarnation: ServerIncarnation,
    /// How many requests it works on at once.
    pub slots: u16,
    /// Whether it accepts no new work: it is about to leave, or its availability zone is evacuated.
    pub draining: bool,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether its node has received enough of its heartbeats to know what it holds: two where keys are
    /// granted by heartbeat, otherwise one.
    pub holding_known: bool,
    /// Whether its heartbeats have stopped. Nothing can then be granted or renewed, though requests may
    /// still reach it.
    pub silent: bool,
}

impl ServerInfo {
    /// Tells whether keys can be granted to the server.
    pub fn is_grantable(&self) -> bool {
        self.holding_known && !self.silent
    }
}
