//! The shutdown of a node.

use std::time::Duration;

use super::Outbox;
use super::Ownership;
use crate::explain::StandDownReason;
use crate::ownership::OwnershipAction;
use crate::ownership::PeerMessage;
use crate::time::Moment;

/// How long a leaving node waits for a controller to move its slices.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(10_000);

impl Ownership {
    pub(super) fn start_leaving(&mut self, now: Moment) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(now);
            self.holder.start_leaving(now);
        }
    }

    /// Completes the shutdown once every slice is handed over. Without a controller the node drains
    /// its slices by itself, so that a shutdown ends in bounded time.
    pub(super) fn try_finish_leaving(&mut self, now: Moment, out: &mut Outbox) {
        let Some(since) = self.leaving_since.filter(|_| !self.finished) else {
            return;
        };
        let times = self.voter.times();
        let last_answer = self.holder.last_answer();
        let abandoned = now.since(last_answer.unwrap_or(since).max(since)) >= times.lease() * 2;
        if abandoned || now.since(since) >= HANDOVER_TIMEOUT {
            self.holder.drain_all(out);
        }
        let moves_unfinished = self
            .controller
            .as_ref()
            .is_some_and(|controller| controller.has_unfinished_moves(&self.config.member.node));
        let controller_informed = last_answer.is_some_and(|answered| answered > since);
        if self.holder.holds_any()
            || (moves_unfinished && !abandoned)
            || !(controller_informed || abandoned)
        {
            return;
        }
        self.resign(out);
        self.finished = true;
        out.push(OwnershipAction::ShutdownComplete);
    }

    /// Notifies the deputies, so that the next one takes over at once instead of after its
    /// detection time.
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
