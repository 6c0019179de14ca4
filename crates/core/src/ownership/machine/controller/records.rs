//! Records that a controller appends to the log.

use std::time::Duration;

use super::Context;
use super::Controller;
use super::PeerEntry;
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

/// Interval between checkpoints, for readers whose offset has expired.
const CHECKPOINT_PERIOD: Duration = Duration::from_millis(30_000);
/// Shortest interval between checkpoints, for a log that is repeatedly unreachable.
const MIN_CHECKPOINT_INTERVAL: Duration = Duration::from_millis(2_000);
/// How long a reason for a new term must last, so that a brief restart causes none.
const NEW_TERM_DELAY: Duration = Duration::from_millis(2_000);
/// How long a claim may take to win its term before it is repeated.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(5_000);
/// How long moves wait for a claim. If the log takes longer, orders that take a zone or server out
/// of service take precedence.
const CLAIM_MOVE_PAUSE: Duration = Duration::from_millis(1_000);

impl Controller {
    /// Returns whether the log is still missing the record that this term is established.
    pub(in crate::ownership::machine) fn needs_established_record(
        &self,
        context: &Context<'_>,
    ) -> bool {
        let term = context.log.term();
        let unrecorded =
            term.is_some_and(|state| state.term() == self.ballot.term && !state.established);
        self.is_established() && unrecorded && context.log.is_current()
    }

    /// Returns a checkpoint if one is due: periodically, and as soon as the log is reachable after
    /// an outage.
    ///
    /// All records may have expired in the meantime. A node that reads no term and reaches no other
    /// node would start a separate cluster.
    pub(in crate::ownership::machine) fn due_checkpoint(
        &mut self,
        context: &Context<'_>,
    ) -> Option<Checkpoint> {
        self.log_outage |= !context.log.is_current();
        let term = context.log.term()?;
        if !self.is_established() || !term.established || !context.log.is_current() {
            return None;
        }
        let since = *self.last_checkpoint.get_or_insert(context.now);
        let period = if self.log_outage {
            MIN_CHECKPOINT_INTERVAL
        } else {
            CHECKPOINT_PERIOD
        };
        if context.now.since(since) < period {
            return None;
        }
        self.log_outage = false;
        self.last_checkpoint = Some(context.now);
        Some(Checkpoint {
            next_offset: context.log.next_offset(),
            term: term.clone(),
        })
    }

    /// Returns a claim of the next term if its controllers or voters should change.
    ///
    /// No slice moves in the meantime: a slice that is released but not granted when the new term
    /// begins has no holder to report it, so it would wait two lease times.
    pub(in crate::ownership::machine) fn due_claim(
        &mut self,
        context: &Context<'_>,
    ) -> Option<Claim> {
        let wanted = self.is_established()
            && context.log.is_current()
            && self.needs_new_term(context)
            && self.reaches_majorities(context);
        if !wanted {
            self.claim_due = None;
            return None;
        }
        self.claim_due.get_or_insert(context.now);
        if !self.awaits_new_term(context.now) || !self.are_slices_settled() {
            return None;
        }
        let claimed = self
            .last_claim
            .is_some_and(|claimed| context.now.since(claimed) < CLAIM_TIMEOUT);
        if claimed {
            return None;
        }
        self.last_claim = Some(context.now);
        let members = self.peers.values().map(|peer| peer.member.clone());
        let members = members.collect();
        Some(build_claim(
            context,
            self.candidates(context),
            members,
            &self.divisions,
        ))
    }

    /// Returns whether voluntary moves wait, so that every slice is settled when the new term
    /// begins.
    pub(super) fn awaits_new_term(&self, now: Moment) -> bool {
        self.claim_due
            .is_some_and(|since| now.since(since) >= NEW_TERM_DELAY)
    }

    /// Returns whether a claim is being appended to the log, so that all moves wait.
    pub(super) fn has_pending_claim(&self, now: Moment) -> bool {
        self.last_claim
            .is_some_and(|claimed| now.since(claimed) < CLAIM_MOVE_PAUSE)
    }

    /// Returns whether heartbeats arrive from a majority of every voter set that the next term
    /// needs.
    ///
    /// A partitioned node may have claimed a term in the meantime, with voters that it chose
    /// itself. Replacing this term by one that cannot be established would stop the whole cluster.
    fn reaches_majorities(&self, context: &Context<'_>) -> bool {
        let voter_sets = context.log.term().map(|state| state.voter_sets());
        let is_responsive = |node: &&NodeName| {
            let peer = self.peers.get(*node);
            peer.is_some_and(|peer| peer.is_responsive_within(context.now, self.times().lease()))
        };
        let has_majority = |voters: &Vec<NodeName>| {
            let count = voters.iter().filter(is_responsive).count();
            count * 2 > voters.len()
        };
        voter_sets.unwrap_or_default().iter().all(has_majority)
    }

    fn needs_new_term(&self, context: &Context<'_>) -> bool {
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
        let incarnations = |members: &[Member]| -> Vec<(NodeName, crate::ids::Incarnation)> {
            let incarnation = |member: &Member| (member.node.clone(), member.incarnation);
            members.iter().map(incarnation).collect()
        };
        !wanted.is_empty() && incarnations(&wanted) != incarnations(&self.term.claim.voters)
    }

    /// Returns the nodes that are responsive, in service and not leaving.
    fn candidates(&self, context: &Context<'_>) -> Vec<Member> {
        let is_candidate = |peer: &&PeerEntry| {
            peer.is_responsive_within(context.now, self.times().lease() * 2)
                && !peer.is_leaving()
                && context.is_in_service(&peer.member)
        };
        let candidates = self.peers.values().filter(is_candidate);
        candidates.map(|peer| peer.member.clone()).collect()
    }

    /// Returns whether no slice is waiting, moving or about to be confirmed. A new term would make
    /// such a slice wait longer.
    fn are_slices_settled(&self) -> bool {
        self.slices.values().all(|entry| {
            let settled = match &entry.state {
                SliceState::Granted(assignment) => assignment.confirmed,
                SliceState::Free => true,
                _ => false,
            };
            settled && entry.planned_move.is_none()
        })
    }

    /// Returns the nodes that have been silent for `span` and hold no slice.
    pub(in crate::ownership::machine) fn silent_peers(
        &self,
        now: Moment,
        span: Duration,
    ) -> Vec<NodeName> {
        let silent_peers = self.peers.iter().filter(|(node, peer)| {
            let holds = |entry: &super::SliceEntry| entry.destination() == Some(node);
            let silent = peer
                .last_heartbeat
                .is_some_and(|received| now.since(received) >= span);
            silent && !self.slices.values().any(holds)
        });
        silent_peers.map(|(node, _)| node.clone()).collect()
    }

    pub(in crate::ownership::machine) fn remove_peer(&mut self, node: &NodeName) {
        self.peers.remove(node);
    }
}
