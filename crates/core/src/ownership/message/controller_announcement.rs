//! The announcement of a controller.

use serde::Deserialize;
use serde::Serialize;

use crate::ownership::Ballot;
use crate::ownership::record::TermState;

/// Announces a controller's ballot to one node, which adopts it unless it has adopted a higher one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ControllerAnnouncement {
    /// The controller's ballot.
    pub ballot: Ballot,
    /// The controller's current round, which the node acknowledges.
    pub round: u64,
    /// Whether the node should send its heartbeat at once, because its answer has something new.
    pub request_heartbeat: bool,
    /// The term, if the node may not know it.
    pub term: Option<TermState>,
}
