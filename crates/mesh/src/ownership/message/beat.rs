//! What a node says to its leader.

use serde::Deserialize;
use serde::Serialize;

use super::Epoch;
use super::Member;
use super::MemberDigest;
use super::NodeLoad;
use crate::model::FreedRange;
use crate::model::Granting;
use crate::model::HeldRange;
use crate::model::KeyRange;

/// The parts of a slot that are counted.
const PRECISION: f64 = 1_000.0;

/// Says how much work a range of keys asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyLoad {
    /// The keys.
    pub keys: KeyRange,
    /// How many of the server's slots its requests keep busy, in thousandths.
    pub busy: u32,
}

impl KeyLoad {
    /// Describes a range whose requests keep so many slots busy.
    pub fn of(keys: KeyRange, slots: f64) -> Self {
        let busy = (slots * PRECISION).round() as u32;
        Self { keys, busy }
    }

    /// Returns how many slots its requests keep busy.
    pub fn slots(&self) -> f64 {
        f64::from(self.busy) / PRECISION
    }
}

/// Is one heartbeat of a node to its leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Beat {
    /// The epoch that the node follows.
    pub epoch: Epoch,
    /// The node.
    pub member: Member,
    /// Numbers the heartbeats of a life; the order that answers it repeats it.
    pub sequence: u64,
    /// The stamp of the newest order that the node has applied, on the leader's clock.
    pub order: Option<u64>,
    /// Whether the node may confirm a leadership: its earlier life can't have followed a later one.
    pub vouches: bool,
    /// How many milliseconds ago the node last obeyed a leader before this one.
    pub quiet: u32,
    /// How long, in milliseconds, the node's lease lasts from the sending of this.
    pub left: u32,
    /// Whether `holding` is complete. A restarted process knows it only once its server has spoken
    /// twice, or once every lease of its earlier life has ended.
    pub known: bool,
    /// How its backend server is granted keys.
    pub granting: Granting,
    /// All that its backend server may hold, as far as known.
    pub holding: Vec<HeldRange>,
    /// What earlier lives of its server were granted by call: the present one may hold it, and may not
    /// keep it, as keys go to another life with a higher token.
    pub leftover: Vec<HeldRange>,
    /// What its server refused since it has seen a higher token.
    pub outbid: Vec<HeldRange>,
    /// How many milliseconds ago its backend server sent its last heartbeat.
    pub heartbeat_age: u16,
    /// What its backend server has released lately.
    pub freed: Vec<FreedRange>,
    /// The load.
    pub load: NodeLoad,
    /// The load of its keys, now and then.
    pub key_loads: Vec<KeyLoad>,
    /// The members that the node knows, as long as it has no version of this leader's table.
    pub members: Vec<MemberDigest>,
    /// The version of the member table that the node has.
    pub table: u64,
    /// The version of the table of owners that the node has.
    pub owners: u64,
    /// How far the node has read the operators' intent.
    pub intent: u64,
}
