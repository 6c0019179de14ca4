//! Replies of the leader to a node's heartbeats.

use serde::Deserialize;
use serde::Serialize;

use super::Epoch;
use super::NodeIncarnation;
use super::ServerDeparture;
use super::TableUpdate;
use crate::model::GrantedRange;
use crate::model::ServerIncarnation;

/// Everything that a backend server is to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Assignment {
    /// The server; the assignment does not apply to its later incarnations.
    pub server: ServerIncarnation,
    /// Its ranges. It is to release any other range.
    pub ranges: Vec<GrantedRange>,
}

/// The reply of a leader to one heartbeat of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaderReply {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The leader.
    pub leader: NodeIncarnation,
    /// The nonce of the node's incarnation; every incarnation numbers its heartbeats anew.
    pub incarnation: u64,
    /// The sequence number of the heartbeat.
    pub sequence: u64,
    /// When the leader sent this reply, on the leader's clock.
    pub sent_at: u64,
    /// How long, in milliseconds, the node's lease lasts, counted from when the node sent the heartbeat.
    pub lease: u32,
    /// Whether the node is to send its next heartbeat early: keys are about to be granted to its backend
    /// server, and have no owner until it learns of the grant, or its server's departure is about to be stored.
    pub early_heartbeat: bool,
    /// What the node's backend server is to hold; none until the leader knows what it holds now.
    pub assignment: Option<Assignment>,
    /// Changes to the node's copy of the tables.
    pub update: TableUpdate,
    /// The offset up to which the leader has read the operators' intent.
    pub intent_offset: u64,
    /// How many milliseconds ago the leader last knew every acknowledged change of the intent.
    pub intent_age: u32,
    /// The departure of the node's server that the leader's record in the store has, if any. Processes of an
    /// earlier version send those of all nodes.
    pub departures: Vec<ServerDeparture>,
}
