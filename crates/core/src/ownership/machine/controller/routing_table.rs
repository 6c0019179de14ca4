//! Computes and publishes the routing table.

use std::time::Duration;

use super::Context;
use super::Controller;
use super::Outbox;
use super::PeerEntry;
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

/// How long a node that holds nothing may be silent before it is removed.
const FORGET_DELAY: Duration = Duration::from_millis(15_000);

impl Controller {
    /// Updates the routing table. Pushes the changes to all nodes if anything but loads changed.
    pub(super) fn publish_routing(&mut self, context: &Context<'_>, out: &mut Outbox) {
        self.forget_silent_peers(context, out);
        let wanted = self.desired_table(context);
        let before = self.routing.version();
        if !self.routing.update(&wanted) {
            return;
        }
        let Some(delta) = self.routing.delta_since(before) else {
            return;
        };
        for peer in self.peers.values() {
            if peer.is_responsive_within(context.now, self.times().lease()) {
                let message = PeerMessage::Routing(Box::new(delta.clone()));
                out.send(peer.member.heartbeat, message);
            }
        }
    }

    fn forget_silent_peers(&mut self, context: &Context<'_>, out: &mut Outbox) {
        for node in self.silent_peers(context.now, FORGET_DELAY) {
            if let Some(peer) = self.peers.get(&node) {
                out.explain(Happening::MemberLost {
                    node: node.clone(),
                    incarnation: peer.member.incarnation,
                });
            }
            self.remove_peer(&node);
        }
    }

    fn desired_table(&self, context: &Context<'_>) -> RoutingTable {
        let nodes = self.peers.iter().filter_map(|(name, peer)| {
            let node = match peer.profile {
                Some(_) => self.routing_node(context, peer),
                None => self.inherited_node(context, peer)?,
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
                SliceState::Unreported(_) => self.inherited_owner(context, slice),
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

    /// Returns whether to trust the previous controller's table about a node that has not sent a
    /// heartbeat yet. Every live node sends one to this controller within the detection time. A
    /// table without these nodes would make every ingress refuse their requests.
    fn may_inherit(&self, context: &Context<'_>, peer: &PeerEntry) -> bool {
        let recent = context.now.since(self.opened) < self.times().detection_time();
        recent && peer.profile.is_none()
    }

    fn inherited_node(&self, context: &Context<'_>, peer: &PeerEntry) -> Option<RoutingNode> {
        let known = context.routing.nodes.get(&peer.member.node)?;
        let same = known.member.incarnation == peer.member.incarnation;
        (same && self.may_inherit(context, peer)).then(|| RoutingNode {
            in_service: known.in_service && context.is_in_service(&known.member),
            ..known.clone()
        })
    }

    fn inherited_owner<'a>(&self, context: &Context<'a>, slice: &SliceId) -> Option<&'a NodeName> {
        let service = context.routing.services.get(&slice.service)?;
        if service.count != self.divisions.count(&slice.service) {
            return None;
        }
        let owner = service.owners.get(&slice.index)?;
        let peer = self.peers.get(owner)?;
        self.may_inherit(context, peer).then_some(owner)
    }

    fn routing_node(&self, context: &Context<'_>, peer: &PeerEntry) -> RoutingNode {
        let profile = peer.profile.as_ref();
        let slots = profile.map_or(SlotCount(0), |profile| profile.slots);
        let state = profile.map_or(ServerState::Cold, |profile| profile.state);
        let load = peer.load.as_ref();
        let has_server = peer.member.server.is_some();
        RoutingNode {
            member: peer.member.clone(),
            in_service: has_server
                && !peer.is_leaving()
                && !peer.is_draining()
                && context.is_in_service(&peer.member)
                && peer.is_responsive_within(context.now, self.times().lease()),
            state: load.map_or(state, |load| load.state),
            limit: load.map_or(slots, |load| load.limit),
            in_flight: load.map_or(SlotCount(0), |load| load.in_flight),
            latency_us: load.map_or(0, |load| load.latency_us),
        }
    }
}
