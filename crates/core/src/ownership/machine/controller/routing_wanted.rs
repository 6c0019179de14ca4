//! The routing table that a controller wants in force.

use std::time::Duration;

use super::Context;
use super::Controller;
use super::Outbox;
use super::Seat;
use super::SliceState;
use crate::cluster::RoutingNode;
use crate::cluster::RoutingTable;
use crate::cluster::ServerState;
use crate::cluster::ServiceSlices;
use crate::explain::Happening;
use crate::ids::NodeName;
use crate::ids::SliceId;
use crate::ids::SlotCount;
use crate::ownership::PeerMessage;

/// After how long a silent node that holds nothing is forgotten.
const FORGET_TIME: Duration = Duration::from_millis(15_000);

impl Controller {
    /// Updates the routing table and pushes what changed, if it is more than loads.
    pub(super) fn publish_routing(&mut self, context: &Context<'_>, out: &mut Outbox) {
        self.forget_lost(context, out);
        let wanted = self.wanted_routing(context);
        let before = self.routing.version();
        if !self.routing.update(&wanted) {
            return;
        }
        let Some(delta) = self.routing.delta_since(before) else {
            return;
        };
        for seat in self.seats.values() {
            if seat.is_heard_within(context.now, self.times().lease()) {
                let message = PeerMessage::Routing(Box::new(delta.clone()));
                out.send(seat.member.heartbeat, message);
            }
        }
    }

    fn forget_lost(&mut self, context: &Context<'_>, out: &mut Outbox) {
        for node in self.lost_seats(context.now, FORGET_TIME) {
            if let Some(seat) = self.seats.get(&node) {
                out.explain(Happening::MemberLost {
                    node: node.clone(),
                    incarnation: seat.member.incarnation,
                });
            }
            self.remove_seat(&node);
        }
    }

    fn wanted_routing(&self, context: &Context<'_>) -> RoutingTable {
        let nodes = self.seats.iter().filter_map(|(name, seat)| {
            let node = match seat.profile {
                Some(_) => self.wanted_node(context, seat),
                None => self.carried_node(context, seat)?,
            };
            Some((name.clone(), node))
        });
        let mut table = RoutingTable {
            nodes: nodes.collect(),
            ..RoutingTable::default()
        };
        let Some(intent) = context.intent else {
            return table;
        };
        for service in &intent.document.services {
            let slices = ServiceSlices {
                count: self.divisions.count(&service.name),
                ..ServiceSlices::default()
            };
            table.services.insert(service.name.clone(), slices);
        }
        for (slice, entry) in &self.slices {
            let owner = match entry.state {
                SliceState::Waiting(_) => self.carried_owner(context, slice),
                _ => {
                    let confirmed = entry.assignment().filter(|known| known.confirmed);
                    confirmed.map(|known| &known.node)
                }
            };
            let service = table.services.get_mut(&slice.service);
            if let (Some(owner), Some(service)) = (owner, service) {
                service.owners.insert(slice.index, owner.clone());
            }
        }
        table
    }

    /// Tells whether a node may still be taken for what the last controller's table says. Whoever lives
    /// speaks to this controller within that time; a table without the others would have every ingress
    /// refuse their requests.
    fn is_carried(&self, context: &Context<'_>, seat: &Seat) -> bool {
        let recent = context.now.since(self.opened) < self.times().detection_time();
        recent && seat.profile.is_none()
    }

    fn carried_node(&self, context: &Context<'_>, seat: &Seat) -> Option<RoutingNode> {
        let known = context.routing.nodes.get(&seat.member.node)?;
        let same = known.member.incarnation == seat.member.incarnation;
        (same && self.is_carried(context, seat)).then(|| RoutingNode {
            in_service: known.in_service && context.is_in_service(&known.member),
            ..known.clone()
        })
    }

    fn carried_owner<'a>(&self, context: &Context<'a>, slice: &SliceId) -> Option<&'a NodeName> {
        let service = context.routing.services.get(&slice.service)?;
        if service.count != self.divisions.count(&slice.service) {
            return None;
        }
        let owner = service.owners.get(&slice.index)?;
        let seat = self.seats.get(owner)?;
        self.is_carried(context, seat).then_some(owner)
    }

    fn wanted_node(&self, context: &Context<'_>, seat: &Seat) -> RoutingNode {
        let profile = seat.profile.as_ref();
        let slots = profile.map_or(SlotCount(0), |profile| profile.slots);
        let state = profile.map_or(ServerState::Cold, |profile| profile.state);
        let load = seat.load.as_ref();
        let served = seat.member.server.is_some();
        RoutingNode {
            member: seat.member.clone(),
            in_service: served
                && !seat.is_leaving()
                && !seat.is_draining()
                && context.is_in_service(&seat.member)
                && seat.is_heard_within(context.now, self.times().lease()),
            state: load.map_or(state, |load| load.state),
            limit: load.map_or(slots, |load| load.limit),
            in_flight: load.map_or(SlotCount(0), |load| load.in_flight),
            latency_us: load.map_or(0, |load| load.latency_us),
        }
    }
}
