//! Chooses the node for each slice.

use std::cmp::Ordering;
use std::time::Duration;

use super::Assignment;
use super::Context;
use super::Controller;
use super::Outbox;
use super::PeerEntry;
use super::SliceState;
use crate::explain::Happening;
use crate::ids::NodeName;
use crate::ids::ServiceName;
use crate::ids::SliceId;
use crate::ids::ZoneName;

/// How long a new controller waits for all the nodes it knows before it grants free slices.
const KNOWN_PEERS_WAIT: Duration = Duration::from_millis(250);
/// How long a node gets no new grant after it refused one.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);

impl Controller {
    /// Grants every free slice that some node can hold.
    pub(super) fn grant_free_slices(&mut self, context: &Context<'_>, out: &mut Outbox) {
        if self.established.is_none() || !self.has_authority(context) {
            return;
        }
        if self.awaits_known_peers(context) {
            return;
        }
        self.cancel_unsent_grants(context.now);
        let free = |(slice, entry): (&SliceId, &super::SliceEntry)| {
            matches!(entry.state, SliceState::Free).then(|| slice.clone())
        };
        let free: Vec<SliceId> = self.slices.iter().filter_map(free).collect();
        let mut granted: Vec<NodeName> = Vec::new();
        for slice in free {
            if let Some(node) = self.grant(context, &slice, out) {
                granted.push(node);
            }
        }
        granted.sort();
        granted.dedup();
        for node in granted {
            self.request_heartbeat(context, &node, out);
        }
    }

    /// Returns whether nodes that the term names may still send their first heartbeat. Granting
    /// only to the first few would make most slices move again shortly afterwards.
    fn awaits_known_peers(&self, context: &Context<'_>) -> bool {
        let recent = self
            .established
            .is_some_and(|established| context.now.since(established) < KNOWN_PEERS_WAIT);
        recent && self.peers.values().any(|peer| peer.profile.is_none())
    }

    /// Returns whether a node may hold slices of a service.
    pub(super) fn can_hold(
        &self,
        context: &Context<'_>,
        peer: &PeerEntry,
        service: &ServiceName,
    ) -> bool {
        let Some(profile) = &peer.profile else {
            return false;
        };
        let serves = profile.member.service.as_ref() == Some(service);
        let refused = peer
            .refused_at
            .is_some_and(|refused| context.now.since(refused) < REFUSAL_PAUSE);
        serves
            && !refused
            && !peer.is_leaving()
            && !peer.is_draining()
            && context.is_in_service(&profile.member)
            && peer.is_responsive_within(context.now, self.times().lease() * 3 / 4)
            && peer.is_reached_within(context.now, self.times().lease())
    }

    /// Chooses the node with the lowest load relative to its capacity, counting the new slice.
    /// Among equals it chooses the zone with the lowest load.
    pub(super) fn choose_node(&self, context: &Context<'_>, slice: &SliceId) -> Option<NodeName> {
        let eligible = self
            .peers
            .iter()
            .filter(|(_, peer)| self.can_hold(context, peer, &slice.service));
        let ranked = eligible.map(|(node, peer)| {
            let share = (self.node_weight(node, &slice.service) + 1.0) / peer.capacity().0 as f32;
            let zone = self.zone_weight(&peer.member.zone, &slice.service);
            (share, zone, node)
        });
        ranked.min_by(compare).map(|(_, _, node)| node.clone())
    }

    /// Returns the total weight of a service's slices that a node holds or will hold after the
    /// planned moves.
    pub(super) fn node_weight(&self, node: &NodeName, service: &ServiceName) -> f32 {
        let own = self.slices.iter().filter(|(slice, entry)| {
            slice.service == *service && entry.destination() == Some(node)
        });
        own.map(|(slice, _)| self.balance.weight(slice)).sum()
    }

    fn zone_weight(&self, zone: &ZoneName, service: &ServiceName) -> f32 {
        let in_zone = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.member.zone == *zone);
        in_zone
            .map(|(node, _)| self.node_weight(node, service))
            .sum()
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
        let planned = self.slices.get(slice)?.planned_move.as_ref();
        let planned = planned.and_then(|plan| plan.target.clone());
        let eligible = |node: &NodeName| {
            let peer = self.peers.get(node);
            peer.is_some_and(|peer| self.can_hold(context, peer, &slice.service))
        };
        let node = planned
            .filter(eligible)
            .or_else(|| self.choose_node(context, slice))?;
        let incarnation = self.peers.get(&node)?.member.incarnation;
        self.last_sequence = self.last_sequence.next();
        let fence = self.ballot.fence(self.last_sequence);
        let entry = self.slices.get_mut(slice)?;
        entry.planned_move = None;
        entry.state = SliceState::Granted(Assignment {
            node: node.clone(),
            incarnation,
            fence,
            confirmed: false,
            latest_end: None,
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
