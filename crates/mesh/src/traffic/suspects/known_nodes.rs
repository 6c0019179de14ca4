//! The other nodes of the fleet, as a process remembers them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use crate::ownership::Directory;

/// How long a node is remembered that is not listed any more: as long as one that does not confirm news is told.
const MEMORY_TIME: Duration = Duration::from_secs(60);
/// Up to this many others, each process that appears is told what is known: one letter of each node a start.
const MAX_TOLD_FLEET: usize = 32;

/// Remembers the nodes that a leader has listed. A leader that has just taken over lists only those that it has heard,
/// and a process that has just started has no list at all, but reads the voters of the leader's record.
#[derive(Clone, Debug)]
pub struct KnownNodes {
    own: NodeName,
    nodes: BTreeMap<NodeName, KnownNode>,
    /// The voters that have been recorded.
    voters: BTreeSet<NodeName>,
}

#[derive(Clone, Copy, Debug)]
struct KnownNode {
    address: SocketAddr,
    /// What tells its process from others; none if it was never listed.
    nonce: Option<u64>,
    /// When it was listed last.
    listed: Moment,
}

impl KnownNodes {
    /// Creates the memory of a process of the node `own`.
    pub fn new(own: NodeName) -> Self {
        Self {
            own,
            nodes: BTreeMap::new(),
            voters: BTreeSet::new(),
        }
    }

    /// Records who is listed now, and the voters of the first records that this process has read; returns the nodes
    /// that run a process which was not listed before, and which is to be told what is known.
    pub fn record(
        &mut self,
        now: Moment,
        directory: &Directory,
        voters: &BTreeMap<NodeName, SocketAddr>,
    ) -> Vec<NodeName> {
        for (node, address) in voters {
            if *node != self.own && self.voters.insert(node.clone()) {
                self.nodes.entry(node.clone()).or_insert(KnownNode {
                    address: *address,
                    nonce: None,
                    listed: now,
                });
            }
        }
        let mut appeared = Vec::new();
        let listed = directory.members.iter();
        for (node, entry) in listed.filter(|(node, _)| **node != self.own) {
            let listed = KnownNode {
                address: entry.member.traffic,
                nonce: Some(entry.member.incarnation.nonce),
                listed: now,
            };
            let known = self.nodes.insert(node.clone(), listed);
            if known.is_none_or(|known| known.nonce != listed.nonce) {
                appeared.push(node.clone());
            }
        }
        self.nodes
            .retain(|_, known| now.since(known.listed) < MEMORY_TIME);
        match self.nodes.len() <= MAX_TOLD_FLEET {
            true => appeared,
            false => Vec::new(),
        }
    }

    /// Returns the other nodes, beginning after the own name, so that not every node has the same others pass its
    /// news on.
    pub fn others(&self) -> Vec<NodeName> {
        let after = self.nodes.keys().filter(|node| **node > self.own);
        let before = self.nodes.keys().filter(|node| **node < self.own);
        after.chain(before).cloned().collect()
    }

    /// Returns where a node receives requests from other nodes.
    pub fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        Some(self.nodes.get(node)?.address)
    }
}
