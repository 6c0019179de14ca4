//! A node's copy of the leader's tables of members and owners.

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

/// What a node knows of one member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The node as it describes itself.
    pub member: Member,
    /// Whether the leader receives the node's heartbeats.
    pub responsive: bool,
    /// The node's load.
    pub load: LoadSummary,
}

/// The tables that the leader distributes. They may be out of date: a node refuses a request that
/// it can't serve, so an outdated table costs a retry and no correctness.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    /// The epoch that the versions belong to.
    pub epoch: Epoch,
    /// The version of the member table.
    pub members_version: u64,
    /// The version of the table of owners.
    pub owners_version: u64,
    /// All nodes, this one included.
    pub members: BTreeMap<NodeName, DirectoryEntry>,
    /// The owner of each range of keys, by service.
    pub owners: BTreeMap<ServiceName, Vec<(KeyRange, NodeName)>>,
}

impl Directory {
    /// Resets the versions for another leader. The tables stay in use until that leader replaces
    /// them.
    pub fn start_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.members_version = 0;
        self.owners_version = 0;
    }

    /// Returns the digests of all known members as long as no version of the current leader is
    /// known, and none afterwards.
    pub fn member_digests(&self) -> Vec<MemberDigest> {
        match self.members_version {
            0 => self.members.values().map(DirectoryEntry::digest).collect(),
            _ => Vec::new(),
        }
    }

    /// Applies the changes of an update.
    pub fn apply(&mut self, update: &TableUpdate) {
        self.members_version = update.members_version;
        for (member, responsive) in &update.members {
            let name = member.incarnation.node.clone();
            let previous = self.members.get(&name);
            let entry = DirectoryEntry {
                member: member.clone(),
                responsive: *responsive,
                load: previous.map(|entry| entry.load).unwrap_or_default(),
            };
            self.members.insert(name, entry);
        }
        if !update.all_members.is_empty() {
            let all: BTreeSet<MemberDigest> = update.all_members.iter().copied().collect();
            self.members
                .retain(|_, entry| all.contains(&entry.digest()));
            // A reply processed in between may have replaced a member that this update left out as
            // known. Version 0 makes the next heartbeat list the known members again.
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
        let ranges = self.owners.get(service)?;
        let index = ranges.partition_point(|(keys, _)| keys.last < key);
        let (keys, node) = ranges.get(index)?;
        keys.contains(key).then_some(node)
    }

    fn apply_owners(&mut self, update: &OwnersUpdate) {
        self.owners_version = update.version;
        if update.full {
            self.owners.clear();
        }
        for change in &update.ranges {
            let ranges = self.owners.entry(change.service.clone()).or_default();
            let unchanged = ranges.drain(..).flat_map(|(keys, node)| {
                let parts = keys.without(&change.keys).into_iter().flatten();
                parts.map(move |part| (part, node.clone()))
            });
            let mut changed: Vec<(KeyRange, NodeName)> = unchanged.collect();
            changed.extend(change.node.clone().map(|node| (change.keys, node)));
            changed.sort();
            *ranges = changed;
        }
    }
}

impl DirectoryEntry {
    /// Returns whether the node's server takes new requests, as far as the leader knows.
    pub fn is_open(&self) -> bool {
        let server = self.member.server.as_ref();
        self.responsive && !self.member.leaving && server.is_some_and(|server| !server.draining)
    }

    fn digest(&self) -> MemberDigest {
        MemberDigest::of(&self.member, self.responsive)
    }
}
