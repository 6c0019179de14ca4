//! Which node gets a slice.

use std::cmp::Ordering;
use std::time::Duration;

use super::Assignment;
use super::Context;
use super::Controller;
use super::Outbox;
use super::Seat;
use super::SliceState;
use crate::explain::Happening;
use crate::ids::NodeName;
use crate::ids::ServiceName;
use crate::ids::SliceId;
use crate::ids::ZoneName;

/// How long a new controller waits for the nodes it knows before it grants free slices.
const ASSEMBLY_TIME: Duration = Duration::from_millis(250);
/// How long a node that refused a grant gets no other one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);

impl Controller {
    /// Grants every free slice that some node can hold.
    pub(super) fn grant_free(&mut self, context: &Context<'_>, out: &mut Outbox) {
        if self.established.is_none() || !self.is_in_authority(context) {
            return;
        }
        if self.awaits_members(context) {
            return;
        }
        self.cancel_unsent(context.now);
        let free = |(slice, entry): (&SliceId, &super::SliceEntry)| {
            matches!(entry.state, SliceState::Free).then(|| slice.clone())
        };
        let free: Vec<SliceId> = self.slices.iter().filter_map(free).collect();
        let mut prompted: Vec<NodeName> = Vec::new();
        for slice in free {
            if let Some(node) = self.grant(context, &slice, out) {
                prompted.push(node);
            }
        }
        prompted.sort();
        prompted.dedup();
        for node in prompted {
            self.prompt(context, &node, out);
        }
    }

    /// Tells whether nodes that the term names may still show themselves. Granting to the first few
    /// alone would make most slices move again a moment later.
    fn awaits_members(&self, context: &Context<'_>) -> bool {
        let begun = self
            .established
            .is_some_and(|established| context.now.since(established) < ASSEMBLY_TIME);
        begun && self.seats.values().any(|seat| seat.profile.is_none())
    }

    /// Tells whether a node may hold slices of a service.
    pub(super) fn can_hold(
        &self,
        context: &Context<'_>,
        seat: &Seat,
        service: &ServiceName,
    ) -> bool {
        let Some(profile) = &seat.profile else {
            return false;
        };
        let beside = profile.member.service.as_ref() == Some(service);
        let refused = seat
            .refused
            .is_some_and(|refused| context.now.since(refused) < REFUSAL_PAUSE);
        beside
            && !refused
            && !seat.is_leaving()
            && !seat.is_draining()
            && context.is_in_service(&profile.member)
            && seat.is_heard_within(context.now, self.times().lease() * 3 / 4)
            && seat.hears_within(context.now, self.times().lease())
    }

    /// Chooses the node that would have the least for what it bears, and among equals the zone
    /// that would.
    pub(super) fn choose_node(&self, context: &Context<'_>, slice: &SliceId) -> Option<NodeName> {
        let able = self
            .seats
            .iter()
            .filter(|(_, seat)| self.can_hold(context, seat, &slice.service));
        let ranked = able.map(|(node, seat)| {
            let share = (self.weight_of(node, &slice.service) + 1.0) / seat.capacity().0 as f32;
            let zone = self.zone_weight(&seat.member.zone, &slice.service);
            (share, zone, node)
        });
        ranked.min_by(compare).map(|(_, _, node)| node.clone())
    }

    /// Sums up the slices of a service that a node has or will have, weighed by their load.
    pub(super) fn weight_of(&self, node: &NodeName, service: &ServiceName) -> f32 {
        let own = self.slices.iter().filter(|(slice, entry)| {
            slice.service == *service && entry.destination() == Some(node)
        });
        own.map(|(slice, _)| self.balance.weight(slice)).sum()
    }

    fn zone_weight(&self, zone: &ZoneName, service: &ServiceName) -> f32 {
        let inside = self
            .seats
            .iter()
            .filter(|(_, seat)| seat.member.zone == *zone);
        inside.map(|(node, _)| self.weight_of(node, service)).sum()
    }

    fn grant(
        &mut self,
        context: &Context<'_>,
        slice: &SliceId,
        out: &mut Outbox,
    ) -> Option<NodeName> {
        if !self.divisions.has_slice(context, slice) {
            return None;
        }
        let planned = self.slices.get(slice)?.planned.as_ref();
        let planned = planned.and_then(|plan| plan.target.clone());
        let able = |node: &NodeName| {
            let seat = self.seats.get(node);
            seat.is_some_and(|seat| self.can_hold(context, seat, &slice.service))
        };
        let node = planned
            .filter(able)
            .or_else(|| self.choose_node(context, slice))?;
        let incarnation = self.seats.get(&node)?.member.incarnation;
        self.sequence = self.sequence.next();
        let fence = self.ballot.fence(self.sequence);
        let entry = self.slices.get_mut(slice)?;
        entry.planned = None;
        entry.state = SliceState::Granted(Assignment {
            node: node.clone(),
            incarnation,
            fence,
            confirmed: false,
            end: None,
        });
        self.fences.insert(fence, slice.clone());
        out.explain(Happening::SliceGranted {
            slice: slice.clone(),
            fence,
            node: node.clone(),
            reason: entry.reason,
        });
        Some(node)
    }
}

fn compare(a: &(f32, f32, &NodeName), b: &(f32, f32, &NodeName)) -> Ordering {
    let shares = a.0.total_cmp(&b.0);
    shares.then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2))
}
