//! The table by which requests are routed.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::RoutingNode;
use super::RoutingVersion;
use super::ServiceSlices;
use crate::ids::NodeName;
use crate::ids::ServiceName;

/// Is an immutable view of nodes and slice holders, built by the controller and read by every
/// ingress without a lock.
///
/// It may be stale: the holder's lease decides, and a node that does not hold a slice replies with
/// the holder that its own table lists.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingTable {
    /// The table's version.
    pub version: RoutingVersion,
    /// Every node of the cluster by name.
    pub nodes: BTreeMap<NodeName, RoutingNode>,
    /// The slices of every service.
    pub services: BTreeMap<ServiceName, ServiceSlices>,
}
