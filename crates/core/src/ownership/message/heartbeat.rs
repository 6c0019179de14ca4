//! A node's heartbeat.

use serde::Deserialize;
use serde::Serialize;

use super::LeaseReport;
use super::LoadReport;
use super::Profile;
use crate::cluster::RoutingVersion;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::ownership::Ballot;

/// Is a node's numbered heartbeat; only an answer to it can grant or renew a lease.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The node.
    pub node: NodeName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts the heartbeats of this life.
    pub number: u64,
    /// The ballot the node adopted.
    pub ballot: Ballot,
    /// The round the node acknowledges as a voter; none while it abstains.
    pub acked: Option<u64>,
    /// The last round it received, acknowledged or not; it dates the report.
    pub round: u64,
    /// The grants confirmed by the backend server and still held.
    pub held: Vec<Fence>,
    /// The grants given back since the last answered heartbeat.
    pub released: Vec<Fence>,
    /// Everything held, for a controller that has not answered this node yet.
    pub leases: Option<Vec<LeaseReport>>,
    /// Who the node is, for a controller that may not know it.
    pub profile: Option<Profile>,
    /// The load, in some heartbeats only.
    pub load: Option<LoadReport>,
    /// The routing table that the node has.
    pub routing: RoutingVersion,
}
