//! What a node knows of the backend servers of other nodes.

use std::collections::BTreeMap;

use quetzalrack_core::ids::NodeName;

use crate::model::ServerIncarnation;
use crate::model::ServerNotice;

/// Keeps what the servers of other nodes said of themselves in the responses passed on here.
///
/// A node has told its callers so, and stays bound by it when the process beside the server ends.
#[derive(Clone, Debug, Default)]
pub struct PeerNotices {
    by_node: BTreeMap<NodeName, ServerNotice>,
}

impl PeerNotices {
    /// Records what a node reports of its server.
    pub fn record(&mut self, node: &NodeName, notice: ServerNotice) {
        let known = self.by_node.get(node);
        let known = known.filter(|known| known.incarnation == notice.incarnation);
        let leaving = notice.leaving || known.is_some_and(|known| known.leaving);
        let notice = ServerNotice { leaving, ..notice };
        match notice.is_empty() {
            true => self.by_node.remove(node),
            false => self.by_node.insert(node.clone(), notice),
        };
    }

    /// Returns what is known of a node's server, to be told to that node.
    pub fn get(&self, node: &NodeName) -> Option<&ServerNotice> {
        self.by_node.get(node)
    }

    /// Returns the incarnations that are known to be leaving, with their nodes.
    pub fn leaving(&self) -> impl Iterator<Item = (&NodeName, &ServerIncarnation)> {
        let leaving = self.by_node.iter().filter(|(_, notice)| notice.leaving);
        leaving.map(|(node, notice)| (node, &notice.incarnation))
    }
}
