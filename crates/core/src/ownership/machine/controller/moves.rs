//! Moves of slices from node to node.

use std::time::Duration;

use super::Context;
use super::Controller;
use super::Outbox;
use super::PlannedMove;
use super::Seat;
use super::SliceState;
use crate::explain::Happening;
use crate::explain::MoveReason;
use crate::ids::NodeName;
use crate::ids::ServiceName;
use crate::ids::SliceId;

/// How often moves are considered.
const PLAN_PERIOD: Duration = Duration::from_millis(100);
/// The shortest time between two voluntary moves.
const MOVE_PERIOD: Duration = Duration::from_millis(200);
/// How long a service must stay uneven before a slice moves for it.
const UNEVEN_TIME: Duration = Duration::from_millis(1_000);
/// By how much of a mean slice the fuller node must gain; less than a whole one, more than noise.
const LEAST_GAIN: f32 = 0.4;
/// How many voluntary moves run at once.
const MOVES_AT_ONCE: usize = 2;

impl Controller {
    /// Orders the moves that are due: those that operators or leaving nodes ask for at once,
    /// voluntary ones one after the other.
    pub(super) fn plan_moves(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let due = self
            .planned
            .is_none_or(|planned| context.now.since(planned) >= PLAN_PERIOD);
        if !due || self.has_claimed(context.now) {
            return;
        }
        self.planned = Some(context.now);
        self.balance.weigh(&self.slices);
        self.evacuate(context, out);
        if !self.awaits_succession(context.now) {
            self.even_out(context, out);
        }
    }

    fn evacuate(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let due = |(slice, entry): (&SliceId, &super::SliceEntry)| {
            let assignment = entry.assignment().filter(|known| known.confirmed)?;
            let seat = self.seats.get(&assignment.node)?;
            let reason = self.leave_reason(context, seat, slice)?;
            entry.planned.is_none().then(|| (slice.clone(), reason))
        };
        let leaving: Vec<_> = self.slices.iter().filter_map(due).collect();
        for (slice, reason) in leaving {
            let target = match reason {
                MoveReason::Withdrawn => None,
                _ => self.choose_node(context, &slice),
            };
            // Where no other node can take it, the slice stays served until one can.
            if target.is_some() || reason == MoveReason::Withdrawn || context.leaving {
                self.order_move(context, &slice, target, reason, out);
            }
        }
    }

    fn leave_reason(
        &self,
        context: &Context<'_>,
        seat: &Seat,
        slice: &SliceId,
    ) -> Option<MoveReason> {
        context.intent?;
        if !self.divisions.has_slice(context, slice) {
            return Some(MoveReason::Withdrawn);
        }
        if !context.is_in_service(&seat.member) {
            return Some(MoveReason::OutOfService);
        }
        (seat.is_leaving() || seat.is_draining()).then_some(MoveReason::Leaving)
    }

    fn even_out(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let rested = self
            .balance
            .moved
            .is_none_or(|moved| context.now.since(moved) >= MOVE_PERIOD);
        let running = |entry: &&super::SliceEntry| entry.planned.is_some();
        if !rested || self.slices.values().filter(running).count() >= MOVES_AT_ONCE {
            return;
        }
        let Some(intent) = context.intent else {
            return;
        };
        for service in &intent.document.services {
            let Some((slice, target, reason)) = self.best_move(context, &service.name) else {
                self.balance.uneven.remove(&service.name);
                continue;
            };
            let since = *self
                .balance
                .uneven
                .entry(service.name.clone())
                .or_insert(context.now);
            if context.now.since(since) >= UNEVEN_TIME {
                self.balance.moved = Some(context.now);
                self.order_move(context, &slice, Some(target), reason, out);
                return;
            }
        }
    }

    /// Finds the move from the fullest to the emptiest node that gains most. All slices hold about
    /// as many keys, so the gain by slice is the gain by moved key.
    fn best_move(
        &self,
        context: &Context<'_>,
        service: &ServiceName,
    ) -> Option<(SliceId, NodeName, MoveReason)> {
        if !self.is_settled(service) {
            return None;
        }
        let able = self
            .seats
            .iter()
            .filter(|(_, seat)| self.can_hold(context, seat, service));
        let mut shares: Vec<(f32, f32, &NodeName)> = able
            .map(|(node, seat)| {
                let capacity = seat.capacity().0 as f32;
                (self.weight_of(node, service) / capacity, capacity, node)
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
                && entry.planned.is_none()
                && assignment.is_some_and(|known| known.confirmed && known.node == *source)
        });
        let best = owned
            .map(|(slice, _)| (gain(self.balance.weight(slice)), slice))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)))?;
        let (gained, slice) = best;
        let even = (high * high_capacity - low * low_capacity).abs() < 2.0;
        let reason = if even {
            MoveReason::Load
        } else {
            MoveReason::Share
        };
        (gained >= LEAST_GAIN).then(|| (slice.clone(), target.clone(), reason))
    }

    /// Tells whether every slice of a service has a holder; until then the free ones even it out.
    fn is_settled(&self, service: &ServiceName) -> bool {
        let own = self
            .slices
            .iter()
            .filter(|(slice, _)| slice.service == *service);
        own.map(|(_, entry)| entry)
            .all(|entry| matches!(entry.state, SliceState::Granted(_)))
    }

    /// Tells whether a node still holds or awaits a slice, or a move has not come to its end. A
    /// controller that left before would leave the slice to the two-lease wait of its successor.
    pub(in crate::ownership::machine) fn has_unfinished_moves(&self, node: &NodeName) -> bool {
        let open = |entry: &super::SliceEntry| {
            let assignment = entry.assignment();
            let taking = assignment.is_some_and(|known| !known.confirmed);
            entry.destination() == Some(node)
                || entry.planned.is_some()
                || (taking && entry.previous.is_some())
        };
        self.slices.values().any(open)
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
        entry.planned = Some(PlannedMove {
            target: target.clone(),
        });
        out.explain(Happening::MoveOrdered {
            slice: slice.clone(),
            fence: assignment.fence,
            from: assignment.node.clone(),
            to: target,
            reason,
        });
        self.prompt(context, &assignment.node, out);
    }
}
