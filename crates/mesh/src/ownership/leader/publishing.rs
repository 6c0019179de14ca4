//! Spreading what the leader knows.

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
    owners: OwnersLog,
}

impl Tables {
    pub(super) fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }
}

impl Leader {
    /// Returns what a node that sent this beat lacks of the tables.
    pub(super) fn update_for(&mut self, beat: &NodeHeartbeat) -> TableUpdate {
        let owned = self.owned_ranges();
        self.tables.owners.set(owned);
        let owners = match self.takeover {
            Some(_) => None,
            None => self.tables.owners.since(beat.owners_version),
        };
        let members = match beat.members_version {
            0 => self.members_for_new(&beat.member_digests),
            table => self.members_since(table),
        };
        TableUpdate { owners, ..members }
    }

    /// Returns what a node lacks that had none of this leader's versions, by what it knows.
    fn members_for_new(&self, known: &[MemberDigest]) -> TableUpdate {
        let known: BTreeSet<MemberDigest> = known.iter().copied().collect();
        let lacks = |peer: &&Peer| !known.contains(&peer.digest());
        let mut missing: Vec<(Member, bool)> =
            self.peers.values().filter(lacks).map(told).collect();
        if missing.len() > MOST_MEMBERS {
            // It says in its next beat that it has these.
            missing.truncate(MOST_MEMBERS);
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

    fn members_since(&self, table: u64) -> TableUpdate {
        let mut changed: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| peer.changed > table)
            .collect();
        changed.sort_by_key(|peer| peer.changed);
        let whole = changed.len() <= MOST_MEMBERS;
        changed.truncate(MOST_MEMBERS);
        let removed = self.tables.removed.iter();
        let gone = removed.filter(|(version, _)| *version > table);
        TableUpdate {
            members_version: match whole {
                true => self.tables.version,
                false => changed.last().map_or(table, |peer| peer.changed),
            },
            members: changed.into_iter().map(told).collect(),
            removed: gone.map(|(_, node)| node.clone()).collect(),
            loads: match whole {
                true => self.loads(),
                false => Vec::new(),
            },
            ..TableUpdate::default()
        }
    }

    fn loads(&self) -> Vec<LoadSummary> {
        self.peers.values().map(|peer| peer.load.into()).collect()
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

    /// Returns who owns which keys; neighbours of one owner as one range.
    fn owned_ranges(&self) -> Vec<OwnedRange> {
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
                        if last.node.as_ref() == Some(&tenure.node)
                            && last.service == *service
                            && u32::from(last.keys.last) + 1 == u32::from(row.keys.first) =>
                    {
                        last.keys.last = row.keys.last;
                    }
                    _ => owners.push(OwnedRange {
                        service: service.clone(),
                        keys: row.keys,
                        node: Some(tenure.node.clone()),
                    }),
                }
            }
        }
        owners
    }
}

fn told(peer: &Peer) -> (Member, bool) {
    (peer.member.clone(), peer.told_heard)
}
