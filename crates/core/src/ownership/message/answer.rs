//! The answer to a heartbeat.

use serde::Deserialize;
use serde::Serialize;

use super::Drain;
use super::Grant;
use super::Updates;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ownership::Ballot;

/// Answers one heartbeat of one incarnation. Every lease that the heartbeat lists is renewed,
/// counted from the moment the heartbeat was sent, except the unrecognised ones.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// The controller's ballot.
    pub ballot: Ballot,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The number of the answered heartbeat.
    pub number: u64,
    /// The controller's current round, which the node acknowledges if it is a voter.
    pub round: u64,
    /// Reported grants that the controller does not recognise; the node drops them.
    pub unrecognised: Vec<Fence>,
    /// Grants that the node has not confirmed yet.
    pub grants: Vec<Grant>,
    /// Grants that the node must hand over.
    pub drains: Vec<Drain>,
    /// Newer state for the node; absent from most answers, which keeps them short.
    pub updates: Option<Box<Updates>>,
}
