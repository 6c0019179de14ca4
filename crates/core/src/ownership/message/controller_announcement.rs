//! A controller's assertion.

use serde::Deserialize;
use serde::Serialize;

use crate::ownership::Ballot;
use crate::ownership::record::TermState;

/// Asserts a controller's ballot towards one node, which adopts it unless it knows a higher one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ControllerAnnouncement {
    /// The controller's ballot.
    pub ballot: Ballot,
    /// Numbers the controller's messages, for the acknowledgement.
    pub round: u64,
    /// Asks for a heartbeat at once, because there is something to answer it with.
    pub request_heartbeat: bool,
    /// The term, for a node that may not know it.
    pub term: Option<TermState>,
}
