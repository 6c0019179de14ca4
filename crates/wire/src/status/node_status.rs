//! The answer to `GET /status`.

use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::cluster::RoutingVersion;
use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::intent::Stage;
use serde::Deserialize;
use serde::Serialize;

use super::ControllerStatus;
use super::CostStatus;
use super::IntentStatus;
use super::LeaseStatus;

/// Is everything an operator needs to see what one node does and what is in force there.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NodeStatus {
    /// The environment.
    pub environment: EnvironmentName,
    /// The stage whose intent the node follows.
    pub stage: Stage,
    /// Who and where the node is.
    pub member: Member,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The intent in force, once known.
    pub intent: Option<IntentStatus>,
    /// Whether the log service answered the last read of the intent stream.
    pub log_reachable: bool,
    /// The version of the routing table.
    pub routing: RoutingVersion,
    /// The controller that the node follows, once known.
    pub controller: Option<ControllerStatus>,
    /// The leases it holds.
    pub leases: Vec<LeaseStatus>,
    /// What the backend server beside it last announced; none while it is silent.
    pub server: Option<Announcement>,
    /// What control has cost so far.
    pub cost: CostStatus,
}
