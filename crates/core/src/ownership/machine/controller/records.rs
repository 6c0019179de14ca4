//! What a controller writes into the log.

use std::time::Duration;

use super::Context;
use super::Controller;
use super::Seat;
use super::SliceState;
use super::build_claim;
use super::choose_voters;
use super::interleave_zones;
use crate::cluster::Member;
use crate::ids::NodeName;
use crate::ids::Rank;
use crate::ownership::record::Checkpoint;
use crate::ownership::record::Claim;
use crate::time::Moment;

/// How often the term in force is repeated for readers whose offset expires.
const CHECKPOINT_PERIOD: Duration = Duration::from_millis(30_000);
/// The shortest time between two checkpoints, for a log that comes and goes.
const RETURN_PERIOD: Duration = Duration::from_millis(2_000);
/// How long a reason for a new term must last, so that a restart in passing costs none.
const SUCCESSION_DELAY: Duration = Duration::from_millis(2_000);
/// How long a claim may take to win its term before it is made again.
const CLAIM_TIME: Duration = Duration::from_millis(5_000);
/// How long moves wait for a claim; if the log takes longer, service orders go first.
const CLAIM_REST: Duration = Duration::from_millis(1_000);

impl Controller {
    /// Tells whether the log does not say yet that this term is established.
    pub(in crate::ownership::machine) fn needs_established_record(
        &self,
        context: &Context<'_>,
    ) -> bool {
        let term = context.log.term();
        let open = term.is_some_and(|state| state.term() == self.ballot.term && !state.established);
        self.is_established() && open && context.log.is_current()
    }

    /// Returns a checkpoint if one is due: now and then, and as soon as the log is back after an
    /// outage. Everything in it may have expired meanwhile; a node that reads no term and reaches
    /// nobody would found a cell of its own beside this one.
    pub(in crate::ownership::machine) fn due_checkpoint(
        &mut self,
        context: &Context<'_>,
    ) -> Option<Checkpoint> {
        self.log_lost |= !context.log.is_current();
        let term = context.log.term()?;
        if !self.is_established() || !term.established || !context.log.is_current() {
            return None;
        }
        let since = *self.checkpointed.get_or_insert(context.now);
        let period = if self.log_lost {
            RETURN_PERIOD
        } else {
            CHECKPOINT_PERIOD
        };
        if context.now.since(since) < period {
            return None;
        }
        self.log_lost = false;
        self.checkpointed = Some(context.now);
        Some(Checkpoint {
            next_offset: context.log.next_offset(),
            term: term.clone(),
        })
    }

    /// Returns the claim of the next term if its controllers or voters should be others.
    ///
    /// No slice moves meanwhile: one that has been released and not yet granted when the new term
    /// begins would wait two lease times, because nobody could report it.
    pub(in crate::ownership::machine) fn due_claim(
        &mut self,
        context: &Context<'_>,
    ) -> Option<Claim> {
        let wanted = self.is_established()
            && context.log.is_current()
            && self.needs_succession(context)
            && self.reaches_voters(context);
        if !wanted {
            self.succession_due = None;
            return None;
        }
        self.succession_due.get_or_insert(context.now);
        if !self.awaits_succession(context.now) || !self.is_quiet() {
            return None;
        }
        let claimed = self
            .claimed
            .is_some_and(|claimed| context.now.since(claimed) < CLAIM_TIME);
        if claimed {
            return None;
        }
        self.claimed = Some(context.now);
        let members = self.seats.values().map(|seat| seat.member.clone());
        let members = members.collect();
        Some(build_claim(
            context,
            self.candidates(context),
            members,
            &self.divisions,
        ))
    }

    /// Tells whether voluntary moves wait, so that the slices come to rest for a new term.
    pub(super) fn awaits_succession(&self, now: Moment) -> bool {
        self.succession_due
            .is_some_and(|since| now.since(since) >= SUCCESSION_DELAY)
    }

    /// Tells whether a claim is on its way into the log, so that every move waits.
    pub(super) fn has_claimed(&self, now: Moment) -> bool {
        self.claimed
            .is_some_and(|claimed| now.since(claimed) < CLAIM_REST)
    }

    /// Tells whether a majority of every voter set that the next term needs is heard.
    ///
    /// A node that is cut off may have claimed a term in the meantime, with voters of its own
    /// choice. Giving up this term for one that can't be established would stop the whole cell.
    fn reaches_voters(&self, context: &Context<'_>) -> bool {
        let quorums = context.log.term().map(|state| state.voter_sets());
        let heard = |node: &&NodeName| {
            let seat = self.seats.get(*node);
            seat.is_some_and(|seat| seat.is_heard_within(context.now, self.times().lease()))
        };
        let reached = |voters: &Vec<NodeName>| {
            let count = voters.iter().filter(heard).count();
            count * 2 > voters.len()
        };
        quorums.unwrap_or_default().iter().all(reached)
    }

    fn needs_succession(&self, context: &Context<'_>) -> bool {
        if self.ballot.rank > Rank(0) || self.times() != context.times() {
            return true;
        }
        if context
            .log
            .term()
            .is_some_and(|state| state.term() > self.ballot.term)
        {
            return true;
        }
        let candidates = self.candidates(context);
        let wanted = choose_voters(interleave_zones(candidates));
        let lives = |members: &[Member]| -> Vec<(NodeName, crate::ids::Incarnation)> {
            let life = |member: &Member| (member.node.clone(), member.incarnation);
            members.iter().map(life).collect()
        };
        !wanted.is_empty() && lives(&wanted) != lives(&self.term.claim.voters)
    }

    /// Returns the nodes that live and are in service.
    fn candidates(&self, context: &Context<'_>) -> Vec<Member> {
        let lives = |seat: &&Seat| {
            seat.is_heard_within(context.now, self.times().lease() * 2)
                && !seat.is_leaving()
                && context.is_in_service(&seat.member)
        };
        let live = self.seats.values().filter(lives);
        live.map(|seat| seat.member.clone()).collect()
    }

    /// Tells whether no slice waits, moves or is about to be confirmed; a new term would make it
    /// wait for longer.
    fn is_quiet(&self) -> bool {
        self.slices.values().all(|entry| {
            let rests = match &entry.state {
                SliceState::Granted(assignment) => assignment.confirmed,
                SliceState::Free => true,
                _ => false,
            };
            rests && entry.planned.is_none()
        })
    }

    /// Forgets nodes that have been silent for long.
    pub(in crate::ownership::machine) fn lost_seats(
        &self,
        now: Moment,
        span: Duration,
    ) -> Vec<NodeName> {
        let lost = self.seats.iter().filter(|(node, seat)| {
            let holds = |entry: &super::SliceEntry| entry.destination() == Some(node);
            let silent = seat.heard.is_some_and(|heard| now.since(heard) >= span);
            silent && !self.slices.values().any(holds)
        });
        lost.map(|(node, _)| node.clone()).collect()
    }

    /// Forgets a node.
    pub(in crate::ownership::machine) fn remove_seat(&mut self, node: &NodeName) {
        self.seats.remove(node);
    }
}
