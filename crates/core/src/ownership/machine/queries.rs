//! Read access to the ownership state.

use super::Ownership;
use crate::cluster::Member;
use crate::ids::Version;
use crate::ownership::Ballot;
use crate::time::Moment;

impl Ownership {
    /// Returns the ballot that this node has adopted.
    pub fn adopted_ballot(&self) -> Ballot {
        self.voter.adopted()
    }

    /// Returns the controller that this node follows, if any.
    pub fn followed_controller(&self) -> Option<&Member> {
        self.voter.controller()
    }

    /// Tells whether this node acts as the controller.
    pub fn is_controller(&self) -> bool {
        self.controller.is_some()
    }

    /// Returns the controller and its deputies, which always read the log.
    pub fn log_readers(&self) -> &[Member] {
        self.voter
            .term()
            .map_or(&[], |term| &term.claim.controllers)
    }

    /// Returns the highest version of the intent that a controller has announced.
    pub fn announced_intent(&self) -> Version {
        self.announced_intent
    }

    /// Tells whether this node must read the control stream itself: as a voter, as controller or
    /// deputy, and while it has no live controller.
    ///
    /// Any other node may stop reading. It acknowledges no ballot lower than the one it adopted, so
    /// it needs no newer term from the log, and it continues where it stopped as soon as the
    /// controller is silent.
    pub fn needs_control_stream(&self, now: Moment) -> bool {
        self.is_voter() || self.needs_intent_stream(now)
    }

    /// Tells whether this node must read the intent stream itself: as controller or deputy, and
    /// while it has no live controller that would announce newer intent.
    pub fn needs_intent_stream(&self, now: Moment) -> bool {
        self.has_rank() || !self.has_live_controller(now)
    }

    fn has_rank(&self) -> bool {
        let own = &self.config.member;
        let term = self.voter.term();
        term.is_some_and(|term| term.rank_of(&own.node, own.incarnation).is_some())
    }
}
