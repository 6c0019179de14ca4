//! The voter of a node, which adopts controllers' ballots.

use std::sync::Arc;
use std::time::Duration;

use crate::cluster::Member;
use crate::ids::NodeName;
use crate::ownership::Ballot;
use crate::ownership::LeaseTimes;
use crate::ownership::SafetyRules;
use crate::ownership::record::TermState;
use crate::time::Moment;

/// Remembers the highest ballot that this incarnation of the node has adopted. The ballot never
/// decreases, so two controllers never have a majority of the same voters at once.
#[derive(Debug)]
pub(super) struct Voter {
    own: Member,
    rules: SafetyRules,
    started_at: Option<Moment>,
    adopted: Ballot,
    term: Option<Arc<TermState>>,
    last_received: Option<Moment>,
    round: u64,
}

impl Voter {
    pub(super) fn open(own: Member, rules: SafetyRules) -> Self {
        Self {
            own,
            rules,
            started_at: None,
            adopted: Ballot::default(),
            term: None,
            last_received: None,
            round: 0,
        }
    }

    /// Records the time of the first event, from which abstention is counted.
    pub(super) fn record_start(&mut self, now: Moment) {
        self.started_at.get_or_insert(now);
    }

    pub(super) fn adopted(&self) -> Ballot {
        self.adopted
    }

    pub(super) fn term(&self) -> Option<&Arc<TermState>> {
        self.term.as_ref()
    }

    pub(super) fn times(&self) -> LeaseTimes {
        self.term
            .as_ref()
            .map_or_else(LeaseTimes::default, |term| term.claim.times)
    }

    /// Returns the controller that the node follows.
    pub(super) fn controller(&self) -> Option<&Member> {
        self.term.as_ref()?.member_at(self.adopted.rank)
    }

    /// Returns when the last message of the adopted controller was received.
    pub(super) fn last_received(&self) -> Option<Moment> {
        self.last_received
    }

    /// Returns the last round received from the adopted controller.
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Adopts a ballot if it is higher than the adopted one, and tells whether it did.
    pub(super) fn adopt(&mut self, now: Moment, ballot: Ballot, term: Arc<TermState>) -> bool {
        if ballot <= self.adopted || term.member_at(ballot.rank).is_none() {
            return false;
        }
        self.adopted = ballot;
        self.term = Some(term);
        self.last_received = Some(now);
        self.round = 0;
        true
    }

    /// Records a message of the adopted controller.
    pub(super) fn record_round(&mut self, now: Moment, round: u64) {
        self.last_received = Some(now);
        self.round = self.round.max(round);
    }

    /// Treats the controller as silent, because it resigned.
    pub(super) fn record_resignation(&mut self) {
        self.last_received = None;
    }

    /// Tells whether the node must not acknowledge as a voter.
    ///
    /// A restarted voter has lost the ballot it adopted. If it acknowledged a lower ballot at once,
    /// a controller that lost its majority to a higher one could regain it, and both would grant.
    /// After two lease times the lower one has stood down. An incarnation named as voter by the
    /// adopted term started before that term was claimed, so no earlier incarnation can have
    /// adopted a higher term, and it need not wait.
    pub(super) fn abstains(&self, now: Moment) -> bool {
        if !self.rules.abstention || self.is_named_voter() {
            return false;
        }
        let waited = self.started_at.map(|started_at| now.since(started_at));
        waited.is_none_or(|waited| waited < self.abstention_time())
    }

    fn abstention_time(&self) -> Duration {
        let wait = self.term.as_ref().map(|term| term.unreported_wait);
        let wait = wait.unwrap_or_else(|| LeaseTimes::default().unreported_wait());
        wait.as_duration()
    }

    fn is_named_voter(&self) -> bool {
        let same = |member: &Member| {
            member.node == self.own.node && member.incarnation == self.own.incarnation
        };
        let voters = self.term.as_ref().map(|term| &term.claim.voters);
        voters.is_some_and(|voters| voters.iter().any(same))
    }

    /// Tells whether `node` is the name of this node.
    pub(super) fn is_own_name(&self, node: &NodeName) -> bool {
        self.own.node == *node
    }
}
