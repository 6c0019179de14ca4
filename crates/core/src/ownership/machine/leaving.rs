//! How a node leaves.

use std::time::Duration;

use super::Outbox;
use super::Ownership;
use crate::explain::StandDownReason;
use crate::ownership::OwnershipAction;
use crate::ownership::PeerMessage;
use crate::time::Moment;

/// How long a leaving node waits for a controller to take its slices over.
const LONGEST_LEAVING: Duration = Duration::from_millis(10_000);

impl Ownership {
    pub(super) fn leave(&mut self, now: Moment) {
        if self.leaving.is_none() {
            self.leaving = Some(now);
            self.holder.leave(now);
        }
    }

    /// Tells when everything is handed over. Without a controller the node finishes what it has
    /// and gives its slices up by itself, so that a shutdown ends in bounded time.
    pub(super) fn finish_leaving(&mut self, now: Moment, out: &mut Outbox) {
        let Some(since) = self.leaving.filter(|_| !self.finished) else {
            return;
        };
        let times = self.voter.times();
        let answered = self.holder.last_answered();
        let abandoned = now.since(answered.unwrap_or(since).max(since)) >= times.lease() * 2;
        if abandoned || now.since(since) >= LONGEST_LEAVING {
            self.holder.drain_all(out);
        }
        let owed = self
            .controller
            .as_ref()
            .is_some_and(|controller| controller.has_unfinished_moves(&self.config.member.node));
        let told = answered.is_some_and(|answered| answered > since);
        if self.holder.holds_any() || (owed && !abandoned) || !(told || abandoned) {
            return;
        }
        self.resign(out);
        self.finished = true;
        out.push(OwnershipAction::ShutdownComplete);
    }

    /// Lets the next deputy act at once instead of after its detection time.
    fn resign(&mut self, out: &mut Outbox) {
        let Some(controller) = &self.controller else {
            return;
        };
        let ballot = controller.ballot();
        for deputy in controller
            .term()
            .claim
            .controllers
            .iter()
            .skip(ballot.rank.0 as usize + 1)
        {
            out.send(deputy.heartbeat, PeerMessage::Resign(ballot));
        }
        self.stand_down(StandDownReason::Leaving, out);
    }
}
