//! What is in force at every node.

use futures::StreamExt;
use futures::stream;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::IntentState;
use serde::Serialize;

use super::NodeAccess;
use super::NodeError;
use super::NodeState;

/// How many nodes are asked at once.
const AT_ONCE: usize = 32;

/// Is the status of every node that one of them knows.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct FleetStatus {
    /// The newest version found anywhere.
    pub newest: Version,
    /// The nodes, by name.
    pub nodes: Vec<NodeState>,
}

impl FleetStatus {
    /// Asks one node for the others, then each of them; `known` is what was read from the log, so
    /// that a fleet that is behind as a whole shows as such.
    pub async fn read(
        reader: &dyn NodeAccess,
        any: &str,
        known: &IntentState,
    ) -> Result<Self, NodeError> {
        let routing = reader.routing(any).await?;
        let members = routing.nodes.into_values().map(|node| node.member);
        let reads = stream::iter(members).map(|member| async move {
            let address = format!("http://{}", member.admin);
            NodeState {
                status: reader.status(&address).await.ok(),
                node: member.node,
                zone: member.zone,
                service: member.service,
            }
        });
        let mut nodes: Vec<_> = reads.buffer_unordered(AT_ONCE).collect().await;
        nodes.sort_by(|one, other| one.node.cmp(&other.node));
        let newest = nodes.iter().filter_map(NodeState::version).max();
        let stage = nodes
            .iter()
            .find_map(|node| Some(node.status.as_ref()?.stage));
        let in_log = stage.map(|stage| known.stage(stage).version());
        Ok(Self {
            newest: newest.max(in_log).unwrap_or_default(),
            nodes,
        })
    }

    /// Returns the nodes at which the newest version is not in force.
    pub fn behind(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes
            .iter()
            .filter(|node| node.version() != Some(self.newest))
    }

    /// Tells whether the newest version is in force at every node.
    pub fn is_everywhere(&self) -> bool {
        !self.nodes.is_empty() && self.behind().next().is_none()
    }
}
