//! What is in force at one node.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::Version;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_wire::status::NodeStatus;
use serde::Serialize;

/// Is one node's answer, or that it gave none.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct NodeState {
    /// The node.
    pub node: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service of the backend server beside it, once that has announced itself.
    pub service: Option<ServiceName>,
    /// Its answer.
    pub status: Option<NodeStatus>,
}

impl NodeState {
    /// Returns the version in force there, if any.
    pub fn version(&self) -> Option<Version> {
        let intent = self.status.as_ref()?.intent.as_ref()?;
        Some(intent.version)
    }
}
