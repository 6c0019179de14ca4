//! What the rest of the node may ask of the state.

use super::Ownership;
use crate::cluster::Member;
use crate::ids::Version;
use crate::ownership::Ballot;
use crate::time::Moment;

impl Ownership {
    /// Returns the ballot of the controller that the node adopted last.
    pub fn adopted_ballot(&self) -> Ballot {
        self.voter.adopted()
    }

    /// Returns the controller that the node follows, if it knows one.
    pub fn followed_controller(&self) -> Option<&Member> {
        self.voter.controller()
    }

    /// Tells whether this node acts as the controller.
    pub fn is_controller(&self) -> bool {
        self.controller.is_some()
    }

    /// Returns the controller and its deputies, who always follow the log.
    pub fn log_readers(&self) -> &[Member] {
        self.voter
            .term()
            .map_or(&[], |term| &term.claim.controllers)
    }

    /// Returns the highest version of the intent that a controller told of.
    pub fn announced_intent(&self) -> Version {
        self.told_intent
    }

    /// Tells whether this node must follow the control stream itself: when its term names it, and
    /// while it hears no controller.
    ///
    /// Any other node may stop. It has adopted a ballot and acknowledges no lower one, so the log
    /// can tell it nothing about terms that it must not miss; and as soon as the controller falls
    /// silent it reads on from where it stopped.
    pub fn needs_control_stream(&self, now: Moment) -> bool {
        self.is_voter() || self.needs_intent_stream(now)
    }

    /// Tells whether this node must follow the intent stream itself: as controller or deputy, and
    /// while it hears no controller that would tell it of newer intent.
    pub fn needs_intent_stream(&self, now: Moment) -> bool {
        self.is_in_line() || !self.hears_controller(now)
    }

    fn is_in_line(&self) -> bool {
        let own = &self.config.member;
        let term = self.voter.term();
        term.is_some_and(|term| term.rank_of(&own.node, own.incarnation).is_some())
    }
}
