//! Heartbeats of a node to its leader.

use serde::Deserialize;
use serde::Serialize;

use super::Epoch;
use super::Member;
use super::MemberDigest;
use super::NodeLoad;
use super::ServerDeparture;
use crate::model::Granting;
use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::model::ReleasedRange;

/// How many of [`KeyLoad::milli_slots`] make a slot.
const PARTS_PER_SLOT: f64 = 1_000.0;

/// The load that requests for a range of keys put on the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyLoad {
    /// The keys.
    pub keys: KeyRange,
    /// The mean number of server slots that its requests occupy, in thousandths.
    pub milli_slots: u32,
}

impl KeyLoad {
    /// Makes the load of a range whose requests occupy `slots` slots.
    pub fn of(keys: KeyRange, slots: f64) -> Self {
        let milli_slots = (slots * PARTS_PER_SLOT).round() as u32;
        Self { keys, milli_slots }
    }

    /// Returns how many slots its requests occupy.
    pub fn slots(&self) -> f64 {
        f64::from(self.milli_slots) / PARTS_PER_SLOT
    }
}

/// One heartbeat of a node to its leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeHeartbeat {
    /// The epoch that the node follows.
    pub epoch: Epoch,
    /// The sending node.
    pub member: Member,
    /// The number of this heartbeat within the node's incarnation; the reply repeats it.
    pub sequence: u64,
    /// The send time of the newest reply that the node has applied, on the leader's clock.
    pub applied_reply: Option<u64>,
    /// Whether this heartbeat confirms the leadership: no earlier incarnation of the node can have
    /// followed a later leader.
    pub confirms: bool,
    /// How many milliseconds ago the node last applied a reply of an earlier leader.
    pub prior_age: u32,
    /// How long, in milliseconds, the node's lease still lasts when this heartbeat is sent.
    pub lease_left: u32,
    /// Whether `holding` is complete. A restarted process knows everything its server holds only after
    /// two heartbeats of the server, or once every lease of the earlier incarnation has ended.
    pub holding_complete: bool,
    /// How keys are granted to its backend server.
    pub granting: Granting,
    /// Everything that its backend server may hold, as far as known.
    pub holding: Vec<HeldRange>,
    /// Ranges granted by call to earlier incarnations of its server. The current one may hold them, but
    /// must not keep them, since another incarnation gets keys only with a higher token.
    pub earlier_grants: Vec<HeldRange>,
    /// Grants that its server refused because it has seen a higher token.
    pub stale_grants: Vec<HeldRange>,
    /// How many milliseconds ago its backend server sent its last heartbeat.
    pub heartbeat_age: u16,
    /// Ranges that its backend server has released recently.
    pub released: Vec<ReleasedRange>,
    /// The load of its backend server.
    pub load: NodeLoad,
    /// The load of its keys; most heartbeats leave it out.
    pub key_loads: Vec<KeyLoad>,
    /// The members that the node knows, as long as it has no version of this leader's member table.
    pub member_digests: Vec<MemberDigest>,
    /// The version of the member table that the node has.
    pub members_version: u64,
    /// The version of the table of owners that the node has.
    pub owners_version: u64,
    /// The offset up to which the node has read the operators' intent.
    pub intent_offset: u64,
    /// The departure of the node's server, until the leader's record in the store has it. Processes of an
    /// earlier version send those of all nodes.
    pub departures: Vec<ServerDeparture>,
}
