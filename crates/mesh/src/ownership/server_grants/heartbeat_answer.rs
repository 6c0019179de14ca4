//! Answers to a backend server's heartbeats.

use crate::model::Renewal;

/// The answer to a heartbeat of the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatAnswer {
    /// The heartbeat was received; the server's ranges are neither renewed nor withdrawn.
    Acknowledged,
    /// The server is to hold these ranges and no others.
    Renewed(Renewal),
}
