//! The handoff of a leadership to another node.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::LeaderRecord;
use super::NodeIncarnation;
use crate::model::FencingToken;
use crate::model::Handover;
use crate::model::KeyRange;
use crate::model::ServerIncarnation;

/// The state of one range at the handoff.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandoffRange {
    /// The service.
    pub service: ServiceName,
    /// The keys.
    pub keys: KeyRange,
    /// The holder; none if the range is free.
    pub holder: Option<HandoffHolder>,
    /// The handover token for the next holder of a free range.
    pub handover: Option<Handover>,
}

/// The holder of a range at the handoff.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HandoffHolder {
    /// Its node.
    pub node: NodeName,
    /// The server's incarnation, if known.
    pub server: Option<ServerIncarnation>,
    /// The fencing token of the grant.
    pub fence: FencingToken,
    /// The longest time, in milliseconds, for which its lease may still last.
    pub lease_left: u32,
    /// Whether it is to release the range.
    pub releasing: bool,
}

/// Everything that a leader knows, for its successor. The sender has stopped acting as a leader, so a
/// handoff that arrives late can do no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Handoff {
    /// The successor; no other incarnation of its node may take over.
    pub successor: NodeIncarnation,
    /// The sequence number of a heartbeat that the leader had received from the successor when it wrote
    /// this. The fields below were true at some time after the successor sent that heartbeat.
    pub sequence: u64,
    /// The record that names the successor.
    pub record: LeaderRecord,
    /// The end offset of the leader's topic.
    pub topic_end: u64,
    /// The highest fencing token issued so far.
    pub fence: FencingToken,
    /// How long, in milliseconds, the voters' confirmations still count while the store is unreachable.
    pub store_grace: u32,
    /// All keys of every service that is divided by key.
    pub ranges: Vec<HandoffRange>,
}
