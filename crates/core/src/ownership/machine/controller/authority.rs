//! Limits the time during which a controller may grant and renew leases.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::NodeName;
use crate::time::Moment;

/// Number of rounds whose send times are kept. A step opens at most one round.
const MAX_REMEMBERED_ROUNDS: usize = 512;

/// Records which voters acknowledged which rounds of messages. Authority counts from the moment a
/// message was sent, on the controller's clock, so network delay can only shorten it.
#[derive(Debug)]
pub(super) struct Authority {
    voter_sets: Vec<Vec<NodeName>>,
    acknowledged: BTreeMap<NodeName, Moment>,
    rounds: BTreeMap<u64, Moment>,
    round: u64,
}

impl Authority {
    pub(super) fn open(voter_sets: Vec<Vec<NodeName>>) -> Self {
        Self {
            voter_sets,
            acknowledged: BTreeMap::new(),
            rounds: BTreeMap::new(),
            round: 0,
        }
    }

    /// Returns the number of the round whose messages are sent now.
    pub(super) fn round_at(&mut self, now: Moment) -> u64 {
        if self.rounds.get(&self.round) != Some(&now) {
            self.round += 1;
            self.rounds.insert(self.round, now);
            while self.rounds.len() > MAX_REMEMBERED_ROUNDS {
                self.rounds.pop_first();
            }
        }
        self.round
    }

    /// Returns when the messages of a round were sent.
    pub(super) fn sent_at(&self, round: u64) -> Option<Moment> {
        self.rounds.get(&round).copied()
    }

    /// Records that a voter acknowledged a round.
    pub(super) fn acknowledge(&mut self, node: &NodeName, round: u64) {
        let Some(sent) = self.sent_at(round) else {
            return;
        };
        let known = self.acknowledged.entry(node.clone()).or_insert(sent);
        *known = (*known).max(sent);
    }

    pub(super) fn has_acknowledged(&self, node: &NodeName) -> bool {
        self.acknowledged.contains_key(node)
    }

    /// Requires only the voters of this term, once the log records the term as established.
    pub(super) fn narrow(&mut self, voters: Vec<NodeName>) {
        self.voter_sets = vec![voters];
    }

    /// Returns the latest moment such that a majority of every voter set acknowledged a message
    /// sent then or later.
    pub(super) fn confirmed_at(&self) -> Option<Moment> {
        let each = self
            .voter_sets
            .iter()
            .map(|voters| self.confirmed_by(voters));
        each.min().flatten()
    }

    /// Returns whether a majority acknowledged messages sent within the last lease time. Older
    /// acknowledgements do not count, because those voters may have adopted a higher ballot since.
    pub(super) fn is_valid(&self, now: Moment, lease: Duration) -> bool {
        self.confirmed_at()
            .is_some_and(|confirmed| now < confirmed + lease)
    }

    fn confirmed_by(&self, voters: &[NodeName]) -> Option<Moment> {
        let mut sent: Vec<Moment> = voters
            .iter()
            .filter_map(|voter| self.acknowledged.get(voter).copied())
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(voters.len() / 2).copied()
    }
}
