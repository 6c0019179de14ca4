//! What a node knows of all nodes.

use std::collections::BTreeMap;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;

use super::Epoch;
use super::Member;
use super::NodeLoad;
use super::OwnedRange;
use super::TableUpdate;
use crate::model::KeyRange;

/// Is what a node knows of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The node's own description.
    pub member: Member,
    /// Whether the leader hears it.
    pub heard: bool,
    /// Its load.
    pub load: NodeLoad,
}

/// Holds the tables that the leader spreads. They can be old: a node that is asked for what it can't
/// do refuses, so that a wrong table costs time and nothing else.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// The epoch of the versions.
    pub epoch: Epoch,
    /// The version of the members.
    pub table: u64,
    /// The version of the owners.
    pub version: u64,
    /// All nodes.
    pub members: BTreeMap<NodeName, DirectoryEntry>,
    /// Who owns which keys, by service.
    pub owners: BTreeMap<ServiceName, Vec<(KeyRange, NodeName)>>,
}

impl Directory {
    /// Starts counting versions anew under another leader; the tables stay until it replaces them.
    pub fn follow(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.table = 0;
        self.version = 0;
    }

    /// Takes over changes.
    pub fn apply(&mut self, update: &TableUpdate) {
        self.table = update.table;
        for (member, heard) in &update.members {
            let name = member.life.node.clone();
            let known = self.members.get(&name);
            let entry = DirectoryEntry {
                member: member.clone(),
                heard: *heard,
                load: known.map(|known| known.load).unwrap_or_default(),
            };
            self.members.insert(name, entry);
        }
        for node in &update.gone {
            self.members.remove(node);
        }
        if update.loads.len() == self.members.len() {
            for (entry, load) in self.members.values_mut().zip(&update.loads) {
                entry.load = *load;
            }
        }
        if let Some((version, owners)) = &update.owners {
            self.version = *version;
            self.owners = by_service(owners);
        }
    }

    /// Returns the node that owns a key.
    pub fn owner(&self, service: &ServiceName, key: u16) -> Option<&NodeName> {
        let rows = self.owners.get(service)?;
        let place = rows.partition_point(|(keys, _)| keys.last < key);
        let (keys, node) = rows.get(place)?;
        keys.contains(key).then_some(node)
    }
}

fn by_service(owners: &[OwnedRange]) -> BTreeMap<ServiceName, Vec<(KeyRange, NodeName)>> {
    let mut rows: BTreeMap<ServiceName, Vec<(KeyRange, NodeName)>> = BTreeMap::new();
    for owned in owners {
        let row = (owned.keys, owned.node.clone());
        rows.entry(owned.service.clone()).or_default().push(row);
    }
    for rows in rows.values_mut() {
        rows.sort();
    }
    rows
}
