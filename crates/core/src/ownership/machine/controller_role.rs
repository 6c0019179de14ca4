//! How a node takes and gives up the role of controller.

use std::sync::Arc;
use std::time::Duration;

use super::Controller;
use super::Outbox;
use super::Ownership;
use super::RecordKind;
use crate::explain::Happening;
use crate::explain::StandDownReason;
use crate::ids::Rank;
use crate::ownership::Ballot;
use crate::ownership::record::ControlBody;
use crate::ownership::record::TermState;
use crate::time::Moment;

impl Ownership {
    /// Becomes controller if the log names this node as one or all nodes of lower rank are silent.
    pub(super) fn try_become_controller(&mut self, now: Moment, out: &mut Outbox) {
        if self.leaving_since.is_some() {
            return;
        }
        if let Some((ballot, term)) = self.due_ballot(now) {
            // The controller of rank 0 checked this before its claim.
            if ballot.rank > Rank(0) && !self.reaches_majorities(now, &term, out) {
                return;
            }
            self.last_acted = ballot;
            if self.controller.is_some() {
                self.stand_down(StandDownReason::Superseded, out);
            }
            out.explain(Happening::TakeoverBegun {
                term: ballot.term,
                rank: ballot.rank,
            });
            self.appender.cancel(RecordKind::Claim);
            let (_, context) = self.controller_and_context(now);
            let controller = Controller::open(&context, ballot, term.clone());
            self.controller = Some(controller);
            self.adopt_ballot(now, ballot, Some(term.as_ref().clone()), out);
        }
    }

    /// Runs the controller, if this node is it, and appends the records that it needs.
    pub(super) fn run_controller(&mut self, now: Moment, out: &mut Outbox) {
        let (Some(controller), context) = self.controller_and_context(now) else {
            return;
        };
        if let Some(reason) = controller.advance(&context, out) {
            self.stand_down(reason, out);
            return;
        }
        let needs_record = controller.needs_established_record(&context);
        let checkpoint = controller.due_checkpoint(&context);
        let claim = controller.due_claim(&context);
        let term = controller.ballot().term;
        if needs_record && !self.appender.has_pending(RecordKind::Established) {
            self.append_record(
                now,
                RecordKind::Established,
                ControlBody::Established(term),
                out,
            );
        }
        if let Some(checkpoint) = checkpoint {
            self.append_record(
                now,
                RecordKind::Checkpoint,
                ControlBody::Checkpoint(checkpoint),
                out,
            );
        }
        if let Some(claim) = claim
            && !self.appender.has_pending(RecordKind::Claim)
        {
            self.append_claim(now, claim, out);
        }
    }

    /// Stops acting as controller. The ballot is never used again, because its voters may have
    /// adopted a higher one meanwhile.
    pub(super) fn stand_down(&mut self, reason: StandDownReason, out: &mut Outbox) {
        if let Some(controller) = self.controller.take() {
            controller.explain_stand_down(reason, out);
            self.appender.cancel(RecordKind::Checkpoint);
            self.appender.cancel(RecordKind::Established);
        }
    }

    pub(super) fn append_record(
        &mut self,
        now: Moment,
        kind: RecordKind,
        body: ControlBody,
        out: &mut Outbox,
    ) {
        self.appender.append(now, kind, body, &mut self.rng, out);
    }

    fn due_ballot(&self, now: Moment) -> Option<(Ballot, Arc<TermState>)> {
        self.due_term().or_else(|| self.due_rank(now))
    }

    /// Returns the term in the log if it names this incarnation as controller.
    fn due_term(&self) -> Option<(Ballot, Arc<TermState>)> {
        let state = self.log.term()?;
        let ballot = state.ballot(Rank(0));
        let due = ballot.term > self.voter.adopted().term
            && ballot > self.last_acted
            && self.own_rank(state) == Some(Rank(0));
        due.then(|| (ballot, Arc::new(state.clone())))
    }

    /// Returns this node's ballot in the adopted term if all nodes of lower rank are silent. The
    /// order of deputies was agreed in the log, so a takeover does not need the log.
    fn due_rank(&self, now: Moment) -> Option<(Ballot, Arc<TermState>)> {
        let term = self.voter.term()?;
        let adopted = self.voter.adopted();
        let rank = self.own_rank(term)?;
        let ballot = term.ballot(rank);
        if rank <= adopted.rank || ballot <= self.last_acted {
            return None;
        }
        let ahead = rank.0 - adopted.rank.0 - 1;
        let delay = self.takeover_delay(ahead);
        let silent = match self.voter.last_received() {
            None => ahead == 0,
            Some(received) => now.since(received) >= delay,
        };
        silent.then(|| (ballot, term.clone()))
    }

    /// Returns how long the controller must be silent before a deputy takes over that has `ahead`
    /// other deputies before it.
    pub(super) fn takeover_delay(&self, ahead: u32) -> Duration {
        let detection = self.voter.times().detection_time();
        detection + detection / 2 * ahead
    }

    /// Returns this node's rank in a term. A restarted node has no rank in a term that names its
    /// earlier incarnation, because it has lost the grants that it made under it.
    fn own_rank(&self, term: &TermState) -> Option<Rank> {
        let own = &self.config.member;
        if self.config.rules.exact_incarnation {
            return term.rank_of(&own.node, own.incarnation);
        }
        let position = term
            .claim
            .controllers
            .iter()
            .position(|member| member.node == own.node)?;
        u32::try_from(position).ok().map(Rank)
    }
}
