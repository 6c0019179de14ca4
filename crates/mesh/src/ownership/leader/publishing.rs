//! Distributes the tables of members and owners.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use super::owners_log::OwnersLog;
use super::peer::Peer;
use crate::ownership::LoadSummary;
use crate::ownership::Member;
use crate::ownership::MemberDigest;
use crate::ownership::NodeHeartbeat;
use crate::ownership::OwnedRange;
use crate::ownership::TableUpdate;

/// The number of members in one reply; more would not fit into a datagram of usual size.
const MAX_REPLY_MEMBERS: usize = 16;
/// How long a silent node stays in the table: longer than a restart or an outage of the store,
/// since the leader contacts the nodes that it knows.
const PEER_RETENTION: Duration = Duration::from_secs(30);
/// The number of removed nodes that are remembered for nodes with an old table.
const MAX_REMOVED_NODES: usize = 256;

/// The tables that are distributed, and their versions.
#[derive(Clone, Debug, Default)]
pub(super) struct PublishedTables {
    version: u64,
    removed: Vec<(u64, NodeName)>,
    owners: OwnersLog,
}

impl PublishedTables {
    pub(super) fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }
}

impl Leader {
    /// Returns the changes of the tables that the sender of a heartbeat lacks.
    pub(super) fn update_for(&mut self, heartbeat: &NodeHeartbeat) -> TableUpdate {
        let owned = self.owned_ranges();
        self.tables.owners.set(owned);
        let owners = match self.takeover {
            Some(_) => None,
            None => self.tables.owners.since(heartbeat.owners_version),
        };
        let members = match heartbeat.members_version {
            0 => self.missing_members(&heartbeat.member_digests),
            version => self.members_since(version),
        };
        TableUpdate { owners, ..members }
    }

    /// Returns the members that are missing at a node that has none of this leader's versions,
    /// given the digests of those it knows.
    fn missing_members(&self, known: &[MemberDigest]) -> TableUpdate {
        let known: BTreeSet<MemberDigest> = known.iter().copied().collect();
        let lacks = |peer: &&Peer| !known.contains(&peer.digest());
        let mut missing: Vec<(Member, bool)> = self
            .peers
            .values()
            .filter(lacks)
            .map(member_entry)
            .collect();
        if missing.len() > MAX_REPLY_MEMBERS {
            // The node's next heartbeat lists these as known.
            missing.truncate(MAX_REPLY_MEMBERS);
            return TableUpdate {
                members: missing,
                ..TableUpdate::default()
            };
        }
        TableUpdate {
            members_version: self.tables.version,
            all_members: self.peers.values().map(Peer::digest).collect(),
            members: missing,
            loads: self.loads(),
            ..TableUpdate::default()
        }
    }

    fn members_since(&self, since: u64) -> TableUpdate {
        let mut changed: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| peer.change_version > since)
            .collect();
        changed.sort_by_key(|peer| peer.change_version);
        let complete = changed.len() <= MAX_REPLY_MEMBERS;
        changed.truncate(MAX_REPLY_MEMBERS);
        let removed = self.tables.removed.iter();
        let expired = removed.filter(|(version, _)| *version > since);
        TableUpdate {
            members_version: match complete {
                true => self.tables.version,
                false => changed.last().map_or(since, |peer| peer.change_version),
            },
            members: changed.into_iter().map(member_entry).collect(),
            removed: expired.map(|(_, node)| node.clone()).collect(),
            loads: match complete {
                true => self.loads(),
                false => Vec::new(),
            },
            ..TableUpdate::default()
        }
    }

    fn loads(&self) -> Vec<LoadSummary> {
        self.peers.values().map(|peer| peer.load.into()).collect()
    }

    /// Lists nodes that became silent as such, and removes those that have been silent for long.
    pub(super) fn expire_silent_peers(&mut self, now: Moment) {
        for peer in self.peers.values_mut() {
            if peer.became_silent(now) {
                peer.published_responsive = false;
                peer.change_version = self.tables.next_version();
            }
        }
        let expired = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.silent_since()) >= PEER_RETENTION);
        let expired: Vec<NodeName> = expired.map(|(node, _)| node.clone()).collect();
        for node in expired {
            self.peers.remove(&node);
            let version = self.tables.next_version();
            self.tables.removed.push((version, node));
        }
        let extra = self.tables.removed.len().saturating_sub(MAX_REMOVED_NODES);
        self.tables.removed.drain(..extra);
    }

    /// Returns the owners of all keys, with adjacent ranges of one owner merged.
    fn owned_ranges(&self) -> Vec<OwnedRange> {
        let mut owners: Vec<OwnedRange> = Vec::new();
        for (service, range_map) in &self.range_maps {
            for entry in range_map.entries() {
                // A server that is to release a range serves it until its next heartbeat is
                // answered. Requests that are sent elsewhere, or nowhere, would wait a second for
                // nothing.
                let Some(lease) = entry.state.lease() else {
                    continue;
                };
                match owners.last_mut() {
                    Some(last)
                        if last.node.as_ref() == Some(&lease.node)
                            && last.service == *service
                            && u32::from(last.keys.last) + 1 == u32::from(entry.keys.first) =>
                    {
                        last.keys.last = entry.keys.last;
                    }
                    _ => owners.push(OwnedRange {
                        service: service.clone(),
                        keys: entry.keys,
                        node: Some(lease.node.clone()),
                    }),
                }
            }
        }
        owners
    }
}

fn member_entry(peer: &Peer) -> (Member, bool) {
    (peer.member.clone(), peer.published_responsive)
}
