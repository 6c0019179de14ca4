//! What a leader answers.

use serde::Deserialize;
use serde::Serialize;

use super::Epoch;
use super::NodeLife;
use super::TableUpdate;
use crate::model::GrantedRange;
use crate::model::ServerLife;

/// Says everything that a backend server is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Assignment {
    /// The server; its next life holds nothing of this.
    pub server: ServerLife,
    /// Its ranges. What is left out is to be released.
    pub ranges: Vec<GrantedRange>,
}

/// Is a leader's answer to one heartbeat of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The leader.
    pub leader: NodeLife,
    /// The process of the node that it answers; a later one counts its heartbeats anew.
    pub life: u64,
    /// The heartbeat that it answers.
    pub sequence: u64,
    /// When the leader sent it, on the leader's clock.
    pub stamp: u64,
    /// How long, in milliseconds, the node's lease lasts from the sending of that heartbeat.
    pub lease: u32,
    /// Whether keys are on their way to the node's backend server, so that the node should speak again
    /// soon: they have no owner until it has heard of their grant.
    pub expects: bool,
    /// What the node's backend server is to hold, as soon as the leader knows what it holds.
    pub assignment: Option<Assignment>,
    /// Changes of the tables.
    pub update: TableUpdate,
    /// How far the leader has read the operators' intent.
    pub intent: u64,
    /// How many milliseconds ago the leader had all that was acknowledged.
    pub intent_age: u32,
}
