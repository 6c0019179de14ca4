//! Moves slices between nodes.

use std::time::Duration;

use super::Context;
use super::Controller;
use super::Outbox;
use super::PeerEntry;
use super::PlannedMove;
use super::SliceState;
use crate::explain::Happening;
use crate::explain::MoveReason;
use crate::ids::NodeName;
use crate::ids::ServiceName;
use crate::ids::SliceId;

/// Interval between searches for moves.
const PLAN_PERIOD: Duration = Duration::from_millis(100);
/// The shortest time between two voluntary moves.
const MIN_MOVE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a service must be uneven before one of its slices moves.
const MIN_UNEVEN_TIME: Duration = Duration::from_millis(1_000);
/// Least load that a move must take off the fullest node, in slices of mean weight. It is less than
/// one whole slice and more than noise.
const MIN_GAIN_SLICES: f32 = 0.4;
/// Number of moves in progress at which no voluntary one is started.
const MAX_CONCURRENT_MOVES: usize = 2;

impl Controller {
    /// Orders all due moves: those that operators or leaving nodes require at once, voluntary ones
    /// one at a time.
    pub(super) fn plan_moves(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let due = self
            .last_plan
            .is_none_or(|searched| context.now.since(searched) >= PLAN_PERIOD);
        if !due || self.has_pending_claim(context.now) {
            return;
        }
        self.last_plan = Some(context.now);
        self.balance.update_weights(&self.slices);
        self.order_mandatory_moves(context, out);
        if !self.awaits_new_term(context.now) {
            self.order_balancing_moves(context, out);
        }
    }

    fn order_mandatory_moves(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let due = |(slice, entry): (&SliceId, &super::SliceEntry)| {
            let assignment = entry.assignment().filter(|known| known.confirmed)?;
            let peer = self.peers.get(&assignment.node)?;
            let reason = self.mandatory_reason(context, peer, slice)?;
            entry
                .planned_move
                .is_none()
                .then(|| (slice.clone(), reason))
        };
        let leaving: Vec<_> = self.slices.iter().filter_map(due).collect();
        for (slice, reason) in leaving {
            let target = match reason {
                MoveReason::Withdrawn => None,
                _ => self.choose_node(context, &slice),
            };
            // If no other node can take the slice, it stays with its holder until one can.
            if target.is_some() || reason == MoveReason::Withdrawn || context.leaving {
                self.order_move(context, &slice, target, reason, out);
            }
        }
    }

    fn mandatory_reason(
        &self,
        context: &Context<'_>,
        peer: &PeerEntry,
        slice: &SliceId,
    ) -> Option<MoveReason> {
        context.intent?;
        if !self.divisions.has_slice(context, slice) {
            return Some(MoveReason::Withdrawn);
        }
        if !context.is_in_service(&peer.member) {
            return Some(MoveReason::OutOfService);
        }
        (peer.is_leaving() || peer.is_draining()).then_some(MoveReason::Leaving)
    }

    fn order_balancing_moves(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let interval_passed = self
            .balance
            .last_move
            .is_none_or(|moved| context.now.since(moved) >= MIN_MOVE_INTERVAL);
        let in_progress = |entry: &&super::SliceEntry| entry.planned_move.is_some();
        if !interval_passed
            || self.slices.values().filter(in_progress).count() >= MAX_CONCURRENT_MOVES
        {
            return;
        }
        let Some(intent) = context.intent else {
            return;
        };
        for service in &intent.document.services {
            let Some((slice, target, reason)) = self.best_move(context, &service.name) else {
                self.balance.uneven_since.remove(&service.name);
                continue;
            };
            let since = *self
                .balance
                .uneven_since
                .entry(service.name.clone())
                .or_insert(context.now);
            if context.now.since(since) >= MIN_UNEVEN_TIME {
                self.balance.last_move = Some(context.now);
                self.order_move(context, &slice, Some(target), reason, out);
                return;
            }
        }
    }

    /// Finds the move from the fullest to the emptiest node with the greatest gain. All slices hold
    /// about the same number of keys, so the gain per slice is also the gain per moved key.
    fn best_move(
        &self,
        context: &Context<'_>,
        service: &ServiceName,
    ) -> Option<(SliceId, NodeName, MoveReason)> {
        if !self.is_fully_granted(service) {
            return None;
        }
        let eligible = self
            .peers
            .iter()
            .filter(|(_, peer)| self.can_hold(context, peer, service));
        let mut shares: Vec<(f32, f32, &NodeName)> = eligible
            .map(|(node, peer)| {
                let capacity = peer.capacity().0 as f32;
                (self.node_weight(node, service) / capacity, capacity, node)
            })
            .collect();
        shares.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.cmp(b.2)));
        let (low, low_capacity, target) = *shares.first()?;
        let (high, high_capacity, source) = *shares.last()?;
        let gain = |weight: f32| {
            let after = (high - weight / high_capacity).max(low + weight / low_capacity);
            (high - after) * high_capacity
        };
        let owned = self.slices.iter().filter(|(slice, entry)| {
            let assignment = entry.assignment();
            slice.service == *service
                && entry.planned_move.is_none()
                && assignment.is_some_and(|known| known.confirmed && known.node == *source)
        });
        let best = owned
            .map(|(slice, _)| (gain(self.balance.weight(slice)), slice))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)))?;
        let (gained, slice) = best;
        let similar_weights = (high * high_capacity - low * low_capacity).abs() < 2.0;
        let reason = if similar_weights {
            MoveReason::Load
        } else {
            MoveReason::Share
        };
        (gained >= MIN_GAIN_SLICES).then(|| (slice.clone(), target.clone(), reason))
    }

    /// Returns whether every slice of a service has a holder. Until then, granting the free slices
    /// evens out the load.
    fn is_fully_granted(&self, service: &ServiceName) -> bool {
        let own = self
            .slices
            .iter()
            .filter(|(slice, _)| slice.service == *service);
        own.map(|(_, entry)| entry)
            .all(|entry| matches!(entry.state, SliceState::Granted(_)))
    }

    /// Returns whether a node still holds or awaits a slice, or any move is unfinished. If a
    /// controller left earlier, the slice would wait two lease times under its successor.
    pub(in crate::ownership::machine) fn has_unfinished_moves(&self, node: &NodeName) -> bool {
        let unfinished = |entry: &super::SliceEntry| {
            let assignment = entry.assignment();
            let unconfirmed = assignment.is_some_and(|known| !known.confirmed);
            entry.destination() == Some(node)
                || entry.planned_move.is_some()
                || (unconfirmed && entry.previous.is_some())
        };
        self.slices.values().any(unfinished)
    }

    fn order_move(
        &mut self,
        context: &Context<'_>,
        slice: &SliceId,
        target: Option<NodeName>,
        reason: MoveReason,
        out: &mut Outbox,
    ) {
        let Some(entry) = self.slices.get_mut(slice) else {
            return;
        };
        let Some(assignment) = entry.assignment().cloned() else {
            return;
        };
        entry.planned_move = Some(PlannedMove {
            target: target.clone(),
        });
        out.explain(Happening::MoveOrdered {
            slice: slice.clone(),
            fence: assignment.fence,
            from: assignment.node.clone(),
            to: target,
            reason,
        });
        self.request_heartbeat(context, &assignment.node, out);
    }
}
