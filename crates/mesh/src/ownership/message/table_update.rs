//! Changes to the tables that every node keeps.

use quetzalrack_core::ids::NodeName;
use serde::Deserialize;
use serde::Serialize;

use super::LoadSummary;
use super::Member;
use super::MemberDigest;
use super::OwnersUpdate;

/// The changes to the tables since the versions in a node's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableUpdate {
    /// The version of the member table with these changes.
    pub members_version: u64,
    /// The digests of all members, for a node that had no version of this leader's table. The node
    /// removes every other member.
    pub all_members: Vec<MemberDigest>,
    /// The members that changed, each with whether the leader receives its heartbeats.
    pub members: Vec<(Member, bool)>,
    /// The nodes that were removed.
    pub removed: Vec<NodeName>,
    /// The loads of all members in the order of their names, for a node whose member table is up to date
    /// after this update. Names would make up nine tenths of the list.
    pub loads: Vec<LoadSummary>,
    /// The changes to the table of owners, if any.
    pub owners: Option<OwnersUpdate>,
}
