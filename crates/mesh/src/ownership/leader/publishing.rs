//! Spreading what the leader knows.

use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;

use super::leader_machine::Leader;
use crate::ownership::OwnedRange;
use crate::ownership::TableUpdate;

/// How many members one order carries; more would not fit into a datagram of usual size.
const MOST_MEMBERS: usize = 16;
/// How long a silent node stays in the table: longer than a restart or a store outage, since the
/// leader calls nodes that it knows.
const FORGET: Duration = Duration::from_secs(30);
/// How many removed nodes are remembered for those whose tables are old.
const REMOVED_KEPT: usize = 256;

/// Counts the versions of the tables.
#[derive(Clone, Debug, Default)]
pub(super) struct Tables {
    version: u64,
    removed: Vec<(u64, NodeName)>,
    owners_version: u64,
    owners: Vec<OwnedRange>,
}

impl Tables {
    pub(super) fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }
}

impl Leader {
    /// Returns what a node with these versions of the tables lacks.
    pub(super) fn update_for(&mut self, table: u64, owners: u64) -> TableUpdate {
        self.publish_owners();
        let mut changed: Vec<_> = self
            .peers
            .values()
            .filter(|peer| peer.changed > table)
            .collect();
        changed.sort_by_key(|peer| peer.changed);
        let whole = changed.len() <= MOST_MEMBERS;
        changed.truncate(MOST_MEMBERS);
        let reached = match whole {
            true => self.tables.version,
            false => changed.last().map_or(table, |peer| peer.changed),
        };
        let members = changed
            .iter()
            .map(|peer| (peer.member.clone(), peer.told_heard));
        let gone = self
            .tables
            .removed
            .iter()
            .filter(|(version, _)| *version > table);
        let loads = match whole {
            true => self.peers.values().map(|peer| peer.load).collect(),
            false => Vec::new(),
        };
        let current = self.tables.owners_version;
        TableUpdate {
            table: reached,
            members: members.collect(),
            gone: gone.map(|(_, node)| node.clone()).collect(),
            loads,
            owners: (owners != current && self.takeover.is_none())
                .then(|| (current, self.tables.owners.clone())),
        }
    }

    /// Notes who has fallen silent, and forgets who has been silent for long.
    pub(super) fn note_silence(&mut self, now: Moment) {
        for peer in self.peers.values_mut() {
            if peer.fell_silent(now) {
                peer.told_heard = false;
                peer.changed = self.tables.next_version();
            }
        }
        let gone = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.last_word()) >= FORGET);
        let gone: Vec<NodeName> = gone.map(|(node, _)| node.clone()).collect();
        for node in gone {
            self.peers.remove(&node);
            let version = self.tables.next_version();
            self.tables.removed.push((version, node));
        }
        let extra = self.tables.removed.len().saturating_sub(REMOVED_KEPT);
        self.tables.removed.drain(..extra);
    }

    fn publish_owners(&mut self) {
        let mut owners: Vec<OwnedRange> = Vec::new();
        for (service, ledger) in &self.ledgers {
            for row in ledger.rows() {
                // A server that is to release a range serves it until its next heartbeat is answered;
                // sent elsewhere, or nowhere, its requests would wait a second for nothing.
                let Some(tenure) = row.state.tenure() else {
                    continue;
                };
                match owners.last_mut() {
                    Some(last)
                        if last.node == tenure.node
                            && last.service == *service
                            && u32::from(last.keys.last) + 1 == u32::from(row.keys.first) =>
                    {
                        last.keys.last = row.keys.last;
                    }
                    _ => owners.push(OwnedRange {
                        service: service.clone(),
                        keys: row.keys,
                        node: tenure.node.clone(),
                    }),
                }
            }
        }
        if owners != self.tables.owners {
            self.tables.owners = owners;
            self.tables.owners_version += 1;
        }
    }
}
