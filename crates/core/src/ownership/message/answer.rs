//! The answer to a heartbeat.

use serde::Deserialize;
use serde::Serialize;

use super::Drain;
use super::Grant;
use super::Updates;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ownership::Ballot;

/// Answers one heartbeat of one life: every lease listed there is renewed from the moment the
/// heartbeat was sent, except those named as dropped.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// The controller's ballot.
    pub ballot: Ballot,
    /// The life that is answered.
    pub incarnation: Incarnation,
    /// The heartbeat that is answered.
    pub number: u64,
    /// Numbers the controller's messages, for the acknowledgement.
    pub round: u64,
    /// Grants that the controller does not recognise.
    pub unrecognised: Vec<Fence>,
    /// Grants not yet confirmed.
    pub grants: Vec<Grant>,
    /// Grants to be handed over.
    pub drains: Vec<Drain>,
    /// What the node may not know yet; none in most answers, which keeps them short.
    pub updates: Option<Box<Updates>>,
}
