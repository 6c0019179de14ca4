//! Which controller a node follows.

use std::sync::Arc;
use std::time::Duration;

use crate::cluster::Member;
use crate::ids::NodeName;
use crate::ownership::Ballot;
use crate::ownership::LeaseTimes;
use crate::ownership::SafetyRules;
use crate::ownership::record::TermState;
use crate::time::Moment;

/// Remembers the highest ballot this life of the node adopted. It never goes back, so two
/// controllers never have a majority of the same voters at once.
#[derive(Debug)]
pub(super) struct Voter {
    own: Member,
    rules: SafetyRules,
    opened: Option<Moment>,
    adopted: Ballot,
    term: Option<Arc<TermState>>,
    heard: Option<Moment>,
    round: u64,
}

impl Voter {
    pub(super) fn open(own: Member, rules: SafetyRules) -> Self {
        Self {
            own,
            rules,
            opened: None,
            adopted: Ballot::default(),
            term: None,
            heard: None,
            round: 0,
        }
    }

    /// Notes the time of the first event, from which abstention counts.
    pub(super) fn begin(&mut self, now: Moment) {
        self.opened.get_or_insert(now);
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

    /// Returns when the adopted controller was last heard.
    pub(super) fn last_heard(&self) -> Option<Moment> {
        self.heard
    }

    /// Returns the last round received from the adopted controller.
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    /// Adopts a ballot if it is higher than every one before, and tells whether it was.
    pub(super) fn adopt(&mut self, now: Moment, ballot: Ballot, term: Arc<TermState>) -> bool {
        if ballot <= self.adopted || term.member_at(ballot.rank).is_none() {
            return false;
        }
        self.adopted = ballot;
        self.term = Some(term);
        self.heard = Some(now);
        self.round = 0;
        true
    }

    /// Notes a message of the adopted controller.
    pub(super) fn hear(&mut self, now: Moment, round: u64) {
        self.heard = Some(now);
        self.round = self.round.max(round);
    }

    /// Takes the controller for silent, because it said that it leaves.
    pub(super) fn forget_controller(&mut self) {
        self.heard = None;
    }

    /// Tells whether the node must not acknowledge as a voter.
    ///
    /// A restarted voter has forgotten what it adopted. If it acknowledged a lower ballot at once,
    /// a controller that lost its majority to a higher one could regain it, and both would grant.
    /// After two lease times the lower one has stood down. A life named as voter by the adopted
    /// term began before that term was claimed, so no earlier life of it can have adopted a higher
    /// term, and it need not wait.
    pub(super) fn abstains(&self, now: Moment) -> bool {
        if !self.rules.abstention || self.is_named() {
            return false;
        }
        let waited = self.opened.map(|opened| now.since(opened));
        waited.is_none_or(|waited| waited < self.longest_wait())
    }

    fn longest_wait(&self) -> Duration {
        let wait = self.term.as_ref().map(|term| term.unreported_wait);
        let wait = wait.unwrap_or_else(|| LeaseTimes::default().unreported_wait());
        wait.as_duration()
    }

    fn is_named(&self) -> bool {
        let same = |member: &Member| {
            member.node == self.own.node && member.incarnation == self.own.incarnation
        };
        let voters = self.term.as_ref().map(|term| &term.claim.voters);
        voters.is_some_and(|voters| voters.iter().any(same))
    }

    /// Tells whether `node` is this node.
    pub(super) fn is_own(&self, node: &NodeName) -> bool {
        self.own.node == *node
    }
}
