//! The nodes that callers know.

use std::net::SocketAddr;

use parking_lot::Mutex;

/// Lists the nodes to which callers send; an experiment may change it while load runs.
#[derive(Debug, Default)]
pub struct LoadTargets {
    nodes: Mutex<Vec<SocketAddr>>,
}

impl LoadTargets {
    /// Lists the given nodes.
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        Self {
            nodes: Mutex::new(nodes),
        }
    }

    /// Replaces the list.
    pub fn replace(&self, nodes: Vec<SocketAddr>) {
        *self.nodes.lock() = nodes;
    }

    /// Returns the node at a place, counted around the list.
    pub fn at(&self, place: usize) -> Option<SocketAddr> {
        let nodes = self.nodes.lock();
        match nodes.len() {
            0 => None,
            count => nodes.get(place % count).copied(),
        }
    }
}
