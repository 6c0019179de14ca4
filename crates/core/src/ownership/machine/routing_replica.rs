//! A node's copy of the routing table.

use std::collections::BTreeMap;

use crate::cluster::RoutingTable;
use crate::cluster::ServiceSlices;
use crate::ids::NodeName;
use crate::ids::ServiceName;
use crate::ownership::message::RoutingChange;
use crate::ownership::message::RoutingDelta;

/// Replicates the controller's routing table by applying its changes.
#[derive(Clone, Debug, Default)]
pub(super) struct RoutingReplica {
    nodes: BTreeMap<u32, NodeName>,
    services: BTreeMap<u32, ServiceName>,
    table: RoutingTable,
}

impl RoutingReplica {
    pub(super) fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// Applies a delta and tells whether it made the table newer. A delta is ignored if changes
    /// before it are missing; the controller sends them in answer to the next heartbeat.
    pub(super) fn apply(&mut self, delta: &RoutingDelta) -> bool {
        if delta.version <= self.table.version {
            return false;
        }
        let known = self.table.version;
        let same = (known.term, known.rank) == (delta.version.term, delta.version.rank);
        if delta.base == 0 {
            *self = Self::default();
        } else if !same || known.count < delta.base {
            return false;
        }
        for change in &delta.changes {
            self.apply_change(change);
        }
        self.table.version = delta.version;
        true
    }

    /// Applies one change; applying it twice has the same effect.
    pub(super) fn apply_change(&mut self, change: &RoutingChange) {
        match change {
            RoutingChange::NodeUpdated { number, node } => {
                self.nodes.insert(*number, node.member.node.clone());
                let name = node.member.node.clone();
                self.table.nodes.insert(name, node.as_ref().clone());
            }
            RoutingChange::LoadUpdated {
                number,
                state,
                limit,
                in_flight,
                latency_us,
            } => {
                let name = self.nodes.get(number);
                if let Some(node) = name.and_then(|name| self.table.nodes.get_mut(name)) {
                    node.state = *state;
                    node.limit = *limit;
                    node.in_flight = *in_flight;
                    node.latency_us = *latency_us;
                }
            }
            RoutingChange::NodeRemoved { number } => {
                if let Some(name) = self.nodes.remove(number) {
                    self.table.nodes.remove(&name);
                }
            }
            _ => self.change_service(change),
        }
    }

    fn change_service(&mut self, change: &RoutingChange) {
        match change {
            RoutingChange::ServiceUpdated {
                number,
                name,
                count,
            } => {
                self.services.insert(*number, name.clone());
                let slices = self.table.services.entry(name.clone()).or_default();
                slices.count = *count;
            }
            RoutingChange::ServiceRemoved { number } => {
                if let Some(name) = self.services.remove(number) {
                    self.table.services.remove(&name);
                }
            }
            RoutingChange::OwnerSet {
                service,
                index,
                owner,
            } => {
                let owner = self.nodes.get(owner).cloned();
                if let (Some(owner), Some(slices)) = (owner, self.slices(*service)) {
                    slices.owners.insert(*index, owner);
                }
            }
            RoutingChange::OwnerCleared { service, index } => {
                if let Some(slices) = self.slices(*service) {
                    slices.owners.remove(index);
                }
            }
            RoutingChange::KeySplit {
                service,
                key,
                index,
            } => {
                if let Some(slices) = self.slices(*service) {
                    slices.hot.insert(*key, *index);
                }
            }
            RoutingChange::KeyMerged { service, key } => {
                if let Some(slices) = self.slices(*service) {
                    slices.hot.remove(key);
                }
            }
            _ => {}
        }
    }

    fn slices(&mut self, service: u32) -> Option<&mut ServiceSlices> {
        let name = self.services.get(&service)?;
        self.table.services.get_mut(name)
    }
}
