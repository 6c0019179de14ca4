//! The description of a node.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::Member;
use crate::cluster::ServerState;
use crate::ids::SlotCount;

/// Describes a node to a controller; sent after each change until a heartbeat with it is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Profile {
    /// The node's name, incarnation, zone and addresses, with its backend server.
    pub member: Member,
    /// How many requests the backend server works on at once.
    pub slots: SlotCount,
    /// The state that the backend server reports.
    pub state: ServerState,
    /// Whether the node was asked to leave.
    pub leaving: bool,
}
