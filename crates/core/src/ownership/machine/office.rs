//! How a node becomes the controller, and stops being it.

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
    /// Takes the office that the log or the silence of those ahead in line gives to this node.
    pub(super) fn take_office(&mut self, now: Moment, out: &mut Outbox) {
        if self.leaving.is_some() {
            return;
        }
        if let Some((ballot, term)) = self.due_office(now) {
            // A term's own controller made sure when it claimed.
            if ballot.rank > Rank(0) && !self.hears_voters(now, &term, out) {
                return;
            }
            self.acted = ballot;
            if self.controller.is_some() {
                self.stand_down(StandDownReason::Superseded, out);
            }
            out.explain(Happening::TakeoverBegun {
                term: ballot.term,
                rank: ballot.rank,
            });
            self.appender.cancel(RecordKind::Claim);
            let (_, context) = self.parts(now);
            let controller = Controller::open(&context, ballot, term.clone());
            self.controller = Some(controller);
            self.follow(now, ballot, Some(term.as_ref().clone()), out);
        }
    }

    /// Does what the controller, if this node is it, has to do.
    pub(super) fn run_controller(&mut self, now: Moment, out: &mut Outbox) {
        let (Some(controller), context) = self.parts(now) else {
            return;
        };
        if let Some(reason) = controller.advance(&context, out) {
            self.stand_down(reason, out);
            return;
        }
        let owes = controller.needs_established_record(&context);
        let checkpoint = controller.due_checkpoint(&context);
        let claim = controller.due_claim(&context);
        let term = controller.ballot().term;
        if owes && !self.appender.has(RecordKind::Established) {
            self.append(
                now,
                RecordKind::Established,
                ControlBody::Established(term),
                out,
            );
        }
        if let Some(checkpoint) = checkpoint {
            self.append(
                now,
                RecordKind::Checkpoint,
                ControlBody::Checkpoint(checkpoint),
                out,
            );
        }
        if let Some(claim) = claim
            && !self.appender.has(RecordKind::Claim)
        {
            self.claim(now, claim, out);
        }
    }

    /// Stops acting as controller. It is for good: the ballot is never used again, because its
    /// voters may have adopted a higher one in the meantime.
    pub(super) fn stand_down(&mut self, reason: StandDownReason, out: &mut Outbox) {
        if let Some(controller) = self.controller.take() {
            controller.explain_stand_down(reason, out);
            self.appender.cancel(RecordKind::Checkpoint);
            self.appender.cancel(RecordKind::Established);
        }
    }

    pub(super) fn append(
        &mut self,
        now: Moment,
        kind: RecordKind,
        body: ControlBody,
        out: &mut Outbox,
    ) {
        self.appender.append(now, kind, body, &mut self.rng, out);
    }

    fn due_office(&self, now: Moment) -> Option<(Ballot, Arc<TermState>)> {
        self.due_term().or_else(|| self.due_rank(now))
    }

    /// Returns the term that names this life as its controller.
    fn due_term(&self) -> Option<(Ballot, Arc<TermState>)> {
        let state = self.log.term()?;
        let ballot = state.ballot(Rank(0));
        let due = ballot.term > self.voter.adopted().term
            && ballot > self.acted
            && self.rank_in(state) == Some(Rank(0));
        due.then(|| (ballot, Arc::new(state.clone())))
    }

    /// Returns the rank whose turn has come, because those ahead in the adopted term's line are
    /// silent. The line was agreed in the log, so this needs no log.
    fn due_rank(&self, now: Moment) -> Option<(Ballot, Arc<TermState>)> {
        let term = self.voter.term()?;
        let adopted = self.voter.adopted();
        let rank = self.rank_in(term)?;
        let ballot = term.ballot(rank);
        if rank <= adopted.rank || ballot <= self.acted {
            return None;
        }
        let ahead = rank.0 - adopted.rank.0 - 1;
        let patience = self.patience(ahead);
        let silent = match self.voter.last_heard() {
            None => ahead == 0,
            Some(heard) => now.since(heard) >= patience,
        };
        silent.then(|| (ballot, term.clone()))
    }

    /// Returns how long silence must last before the deputy acts that has `ahead` others before it.
    pub(super) fn patience(&self, ahead: u32) -> Duration {
        let detection = self.voter.times().detection_time();
        detection + detection / 2 * ahead
    }

    /// Finds this node's rank. A restarted node has no rank in a term that names its earlier life:
    /// it has forgotten what it granted under it.
    fn rank_in(&self, term: &TermState) -> Option<Rank> {
        let own = &self.config.member;
        if self.config.rules.exact_incarnation {
            return term.rank_of(&own.node, own.incarnation);
        }
        let place = term
            .claim
            .controllers
            .iter()
            .position(|member| member.node == own.node)?;
        u32::try_from(place).ok().map(Rank)
    }
}
