//! Versions of the routing table.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::super::RoutingReplica;
use crate::cluster::RoutingNode;
use crate::cluster::RoutingTable;
use crate::cluster::RoutingVersion;
use crate::cluster::ServiceSlices;
use crate::ids::NodeName;
use crate::ids::ServiceName;
use crate::ownership::Ballot;
use crate::ownership::message::RoutingChange;
use crate::ownership::message::RoutingDelta;

/// Number of changes kept. A node that lags further behind gets the whole table.
const MAX_KEPT_CHANGES: usize = 512;

/// Turns each new routing table into numbered changes. Each change makes a new version, so a node
/// gets exactly the changes that it is missing.
#[derive(Debug)]
pub(super) struct RoutingHistory {
    ballot: Ballot,
    count: u64,
    nodes: BTreeMap<NodeName, u32>,
    services: BTreeMap<ServiceName, u32>,
    last_number: u32,
    changes: VecDeque<RoutingChange>,
    replica: RoutingReplica,
}

impl RoutingHistory {
    pub(super) fn open(ballot: Ballot) -> Self {
        Self {
            ballot,
            count: 0,
            nodes: BTreeMap::new(),
            services: BTreeMap::new(),
            last_number: 0,
            changes: VecDeque::new(),
            replica: RoutingReplica::default(),
        }
    }

    pub(super) fn version(&self) -> RoutingVersion {
        RoutingVersion {
            term: self.ballot.term,
            rank: self.ballot.rank,
            count: self.count,
        }
    }

    /// Makes `wanted` the newest table. Returns whether anything but loads changed.
    pub(super) fn update(&mut self, wanted: &RoutingTable) -> bool {
        let before = self.count;
        self.update_nodes(wanted);
        let loads = self.update_loads(wanted);
        self.update_services(wanted);
        self.count - before > loads
    }

    /// Returns the changes that a node with this version is missing.
    pub(super) fn delta_since(&self, known: RoutingVersion) -> Option<RoutingDelta> {
        let version = self.version();
        if self.count == 0 || known >= version {
            return None;
        }
        let same = (known.term, known.rank) == (version.term, version.rank);
        let missing = (version.count - known.count.min(version.count)) as usize;
        if !same || known.count == 0 || missing > self.changes.len() {
            return Some(self.full_delta());
        }
        let from = self.changes.len() - missing;
        Some(RoutingDelta {
            version,
            base: known.count,
            changes: self.changes.range(from..).cloned().collect(),
        })
    }

    fn full_delta(&self) -> RoutingDelta {
        let table = self.replica.table();
        let mut changes = Vec::new();
        for (name, node) in &table.nodes {
            if let Some(number) = self.nodes.get(name) {
                changes.push(RoutingChange::NodeUpdated {
                    number: *number,
                    node: Box::new(node.clone()),
                });
            }
        }
        for (name, slices) in &table.services {
            if let Some(number) = self.services.get(name) {
                self.append_service(*number, name, slices, &mut changes);
            }
        }
        RoutingDelta {
            version: self.version(),
            base: 0,
            changes,
        }
    }

    fn append_service(
        &self,
        number: u32,
        name: &ServiceName,
        slices: &ServiceSlices,
        changes: &mut Vec<RoutingChange>,
    ) {
        changes.push(RoutingChange::ServiceUpdated {
            number,
            name: name.clone(),
            count: slices.count,
        });
        for (key, index) in &slices.hot {
            changes.push(RoutingChange::KeySplit {
                service: number,
                key: *key,
                index: *index,
            });
        }
        for (index, owner) in &slices.owners {
            if let Some(owner) = self.nodes.get(owner) {
                changes.push(RoutingChange::OwnerSet {
                    service: number,
                    index: *index,
                    owner: *owner,
                });
            }
        }
    }

    fn record(&mut self, change: RoutingChange) {
        self.count += 1;
        self.replica.apply_change(&change);
        self.changes.push_back(change);
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn allocate_number(&mut self) -> u32 {
        self.last_number += 1;
        self.last_number
    }

    fn update_nodes(&mut self, wanted: &RoutingTable) {
        let gone: Vec<NodeName> = self
            .nodes
            .keys()
            .filter(|name| !wanted.nodes.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            if let Some(number) = self.nodes.remove(&name) {
                self.record(RoutingChange::NodeRemoved { number });
            }
        }
        for (name, node) in &wanted.nodes {
            let known = self.replica.table().nodes.get(name);
            if known.is_some_and(|known| is_node_unchanged(known, node)) {
                continue;
            }
            let number = match self.nodes.get(name) {
                Some(number) => *number,
                None => self.allocate_number(),
            };
            self.nodes.insert(name.clone(), number);
            self.record(RoutingChange::NodeUpdated {
                number,
                node: Box::new(node.clone()),
            });
        }
    }

    fn update_loads(&mut self, wanted: &RoutingTable) -> u64 {
        let before = self.count;
        for (name, node) in &wanted.nodes {
            let known = self.replica.table().nodes.get(name);
            let (Some(known), Some(number)) = (known, self.nodes.get(name)) else {
                continue;
            };
            if !has_load_changed(known, node) {
                continue;
            }
            let change = RoutingChange::LoadUpdated {
                number: *number,
                state: node.state,
                limit: node.limit,
                in_flight: node.in_flight,
                latency_us: node.latency_us,
            };
            self.record(change);
        }
        self.count - before
    }

    fn update_services(&mut self, wanted: &RoutingTable) {
        let gone: Vec<ServiceName> = self
            .services
            .keys()
            .filter(|name| !wanted.services.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            if let Some(number) = self.services.remove(&name) {
                self.record(RoutingChange::ServiceRemoved { number });
            }
        }
        for (name, slices) in &wanted.services {
            let number = match self.services.get(name) {
                Some(number) => *number,
                None => self.allocate_number(),
            };
            self.services.insert(name.clone(), number);
            self.update_service(number, name, slices);
        }
    }

    fn update_service(&mut self, service: u32, name: &ServiceName, slices: &ServiceSlices) {
        let known = self.replica.table().services.get(name).cloned();
        let known = known.unwrap_or_default();
        if known.count != slices.count {
            self.record(RoutingChange::ServiceUpdated {
                number: service,
                name: name.clone(),
                count: slices.count,
            });
        }
        for (key, index) in &slices.hot {
            if known.hot.get(key) != Some(index) {
                self.record(RoutingChange::KeySplit {
                    service,
                    key: *key,
                    index: *index,
                });
            }
        }
        for key in known.hot.keys() {
            if !slices.hot.contains_key(key) {
                self.record(RoutingChange::KeyMerged { service, key: *key });
            }
        }
        for (index, owner) in &slices.owners {
            let number = self.nodes.get(owner).copied();
            if let Some(owner) = number.filter(|_| known.owners.get(index) != Some(owner)) {
                self.record(RoutingChange::OwnerSet {
                    service,
                    index: *index,
                    owner,
                });
            }
        }
        for index in known.owners.keys() {
            if !slices.owners.contains_key(index) {
                let index = *index;
                self.record(RoutingChange::OwnerCleared { service, index });
            }
        }
    }
}

fn is_node_unchanged(known: &RoutingNode, node: &RoutingNode) -> bool {
    known.member == node.member && known.in_service == node.in_service
}

/// Returns whether a load differs enough from the published one to publish it. Small changes are
/// left out, because each change goes to every node of the cluster.
fn has_load_changed(known: &RoutingNode, node: &RoutingNode) -> bool {
    let load_quarters = |node: &RoutingNode| node.in_flight.0 * 4 / node.limit.0.max(1);
    let slower = node.latency_us > known.latency_us.saturating_mul(2);
    let faster = known.latency_us > node.latency_us.saturating_mul(2);
    known.state != node.state
        || known.limit.0.abs_diff(node.limit.0) * 4 > known.limit.0
        || load_quarters(known).abs_diff(load_quarters(node)) > 1
        || slower
        || faster
}
