//! What a node knows of all nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;

use super::Epoch;
use super::LoadSummary;
use super::Member;
use super::MemberDigest;
use super::OwnersUpdate;
use super::TableUpdate;
use crate::model::KeyRange;

/// Is what a node knows of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The node's own description.
    pub member: Member,
    /// Whether the leader hears it.
    pub responsive: bool,
    /// Its load.
    pub load: LoadSummary,
}

/// Holds the tables that the leader spreads. They can be old: a node that is asked for what it can't
/// do refuses, so that a wrong table costs time and nothing else.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// The epoch of the versions.
    pub epoch: Epoch,
    /// The version of the members.
    pub members_version: u64,
    /// The version of the owners.
    pub owners_version: u64,
    /// All nodes.
    pub members: BTreeMap<NodeName, DirectoryEntry>,
    /// Who owns which keys, by service.
    pub owners: BTreeMap<ServiceName, Vec<(KeyRange, NodeName)>>,
}

impl Directory {
    /// Starts counting versions anew under another leader; the tables stay until it replaces them.
    pub fn start_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.members_version = 0;
        self.owners_version = 0;
    }

    /// Returns what is known of the members, for a leader none of whose versions is known yet.
    pub fn member_digests(&self) -> Vec<MemberDigest> {
        match self.members_version {
            0 => self.members.values().map(DirectoryEntry::digest).collect(),
            _ => Vec::new(),
        }
    }

    /// Takes over changes.
    pub fn apply(&mut self, update: &TableUpdate) {
        self.members_version = update.members_version;
        for (member, responsive) in &update.members {
            let name = member.incarnation.node.clone();
            let known = self.members.get(&name);
            let entry = DirectoryEntry {
                member: member.clone(),
                responsive: *responsive,
                load: known.map(|known| known.load).unwrap_or_default(),
            };
            self.members.insert(name, entry);
        }
        if !update.all_members.is_empty() {
            let all: BTreeSet<MemberDigest> = update.all_members.iter().copied().collect();
            self.members
                .retain(|_, entry| all.contains(&entry.digest()));
            // An order that came in between may have replaced what this one left out as known; then
            // the leader must be told again what is known here.
            if self.members.len() < all.len() {
                self.members_version = 0;
            }
        }
        for node in &update.removed {
            self.members.remove(node);
        }
        if update.loads.len() == self.members.len() {
            for (entry, load) in self.members.values_mut().zip(&update.loads) {
                entry.load = *load;
            }
        }
        if let Some(owners) = &update.owners {
            self.apply_owners(owners);
        }
    }

    /// Returns the node that owns a key.
    pub fn owner(&self, service: &ServiceName, key: u16) -> Option<&NodeName> {
        let rows = self.owners.get(service)?;
        let place = rows.partition_point(|(keys, _)| keys.last < key);
        let (keys, node) = rows.get(place)?;
        keys.contains(key).then_some(node)
    }

    fn apply_owners(&mut self, update: &OwnersUpdate) {
        self.owners_version = update.version;
        if update.full {
            self.owners.clear();
        }
        for owned in &update.ranges {
            let rows = self.owners.entry(owned.service.clone()).or_default();
            let kept = rows.drain(..).flat_map(|(keys, node)| {
                let parts = keys.without(&owned.keys).into_iter().flatten();
                parts.map(move |part| (part, node.clone()))
            });
            let mut changed: Vec<(KeyRange, NodeName)> = kept.collect();
            changed.extend(owned.node.clone().map(|node| (owned.keys, node)));
            changed.sort();
            *rows = changed;
        }
    }
}

impl DirectoryEntry {
    fn digest(&self) -> MemberDigest {
        MemberDigest::of(&self.member, self.responsive)
    }
}
