//! Handles heartbeats of nodes and answers them.

use super::Context;
use super::Controller;
use super::Outbox;
use super::PeerEntry;
use super::SliceState;
use crate::explain::Happening;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::ownership::PeerMessage;
use crate::ownership::message::Answer;
use crate::ownership::message::Drain;
use crate::ownership::message::Grant;
use crate::ownership::message::Heartbeat;
use crate::ownership::message::Updates;

/// Weight of the newest rate in the moving average.
const NEWEST_RATE_WEIGHT: f32 = 0.3;

impl Controller {
    /// Handles a heartbeat of a node that follows this controller, and answers it while the
    /// controller has authority.
    pub(in crate::ownership::machine) fn handle_heartbeat(
        &mut self,
        context: &Context<'_>,
        heartbeat: Box<Heartbeat>,
        out: &mut Outbox,
    ) {
        if !self.accept(context, &heartbeat, out) {
            return;
        }
        if let Some(round) = heartbeat.acked {
            self.authority.acknowledge(&heartbeat.node, round);
        }
        if !self.record_leases(context, &heartbeat, out) {
            return;
        }
        self.record_releases(context, &heartbeat);
        self.record_load(&heartbeat);
        if self.established.is_some() && self.has_authority(context) {
            self.grant_free_slices(context, out);
            self.send_answer(context, &heartbeat, out);
        } else if let Some(peer) = self.peers.get_mut(&heartbeat.node) {
            peer.unanswered = Some(heartbeat);
        }
    }

    /// Answers the heartbeats that arrived before the majority, so that their leases are extended
    /// immediately.
    pub(super) fn answer_pending_heartbeats(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let take = |peer: &mut PeerEntry| peer.unanswered.take();
        let waiting: Vec<_> = self.peers.values_mut().filter_map(take).collect();
        for heartbeat in waiting {
            self.send_answer(context, &heartbeat, out);
        }
    }

    /// Updates the sender's entry. Returns false for a heartbeat to ignore: from an earlier
    /// incarnation, older than one already handled, or from a node whose profile is unknown, which
    /// gets the term instead.
    fn accept(&mut self, context: &Context<'_>, heartbeat: &Heartbeat, out: &mut Outbox) -> bool {
        let is_new = self
            .peers
            .get(&heartbeat.node)
            .is_none_or(|peer| peer.last_heartbeat.is_none());
        if let Some(profile) = &heartbeat.profile {
            self.add_peer(&profile.member);
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.node) else {
            return false;
        };
        if peer.member.incarnation != heartbeat.incarnation || heartbeat.number <= peer.last_number
        {
            return false;
        }
        if peer.profile.is_none() && heartbeat.profile.is_none() {
            let node = heartbeat.node.clone();
            self.send_term(context, &node, out);
            return false;
        }
        peer.last_number = heartbeat.number;
        peer.last_heartbeat = Some(context.now);
        peer.delivered = peer.delivered.max(self.authority.sent_at(heartbeat.round));
        if let Some(profile) = &heartbeat.profile {
            peer.member = profile.member.clone();
            peer.profile = Some(profile.clone());
            self.changed = true;
        }
        if is_new {
            out.explain(Happening::MemberJoined {
                node: heartbeat.node.clone(),
                incarnation: heartbeat.incarnation,
            });
        }
        true
    }

    /// Records the reported leases, if any. A report counts from the round that the node had
    /// received when it sent it.
    fn record_leases(
        &mut self,
        context: &Context<'_>,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) -> bool {
        let Some(leases) = &heartbeat.leases else {
            return true;
        };
        let Some(round_sent) = self.authority.sent_at(heartbeat.round) else {
            if leases.is_empty() {
                return true;
            }
            let node = heartbeat.node.clone();
            self.send_term(context, &node, out);
            return false;
        };
        for report in leases {
            self.record_lease(
                context,
                &heartbeat.node,
                heartbeat.incarnation,
                round_sent,
                report,
            );
        }
        true
    }

    /// Frees the slices that the holder released. A release names its grant, because a delayed or
    /// duplicate release must not free a newer grant of the same slice.
    fn record_releases(&mut self, context: &Context<'_>, heartbeat: &Heartbeat) {
        for fence in &heartbeat.released {
            let Some(slice) = self.fences.get(fence) else {
                continue;
            };
            let Some(entry) = self.slices.get_mut(slice) else {
                continue;
            };
            let is_current = entry.assignment().is_some_and(|assignment| {
                (assignment.fence == *fence || !context.rules.fenced_release)
                    && assignment.node == heartbeat.node
                    && assignment.incarnation == heartbeat.incarnation
            });
            if !is_current {
                continue;
            }
            let confirmed = entry.assignment().is_some_and(|known| known.confirmed);
            entry.release(context.now);
            self.changed = true;
            if context.rules.fenced_release {
                self.fences.remove(fence);
            }
            if !confirmed && let Some(peer) = self.peers.get_mut(&heartbeat.node) {
                peer.refused_at = peer.last_heartbeat;
            }
        }
    }

    fn record_load(&mut self, heartbeat: &Heartbeat) {
        let Some(load) = &heartbeat.load else {
            return;
        };
        for (fence, rate) in heartbeat.held.iter().zip(&load.rates) {
            let slice = self.fences.get(fence);
            if let Some(entry) = slice.and_then(|slice| self.slices.get_mut(slice)) {
                entry.rate += (*rate as f32 - entry.rate) * NEWEST_RATE_WEIGHT;
            }
        }
        if let Some(peer) = self.peers.get_mut(&heartbeat.node) {
            peer.load = Some(load.clone());
            self.changed = true;
        }
    }

    /// Answers a heartbeat. The leases it grants or renews end at most one lease time from now,
    /// because they count from the sending of the heartbeat, which was earlier.
    fn send_answer(&mut self, context: &Context<'_>, heartbeat: &Heartbeat, out: &mut Outbox) {
        let Some(peer) = self.peers.get_mut(&heartbeat.node) else {
            return;
        };
        let to = peer.member.heartbeat;
        let version = context.intent.map(|intent| intent.version);
        let updates = Updates {
            intent_version: version.and_then(|version| peer.next_intent_version(version)),
            routing: self.routing.delta_since(heartbeat.routing),
        };
        let has_updates = updates.intent_version.is_some() || updates.routing.is_some();
        let unrecognised = self.renew_leases(context, heartbeat, out);
        let grants = self.pending_grants(context, &heartbeat.node, heartbeat.incarnation);
        let answer = Answer {
            ballot: self.ballot,
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
            round: self.authority.round_at(context.now),
            unrecognised,
            grants,
            drains: self.pending_drains(&heartbeat.node, heartbeat.incarnation),
            updates: has_updates.then(|| Box::new(updates)),
        };
        out.send(to, PeerMessage::Answer(Box::new(answer)));
    }

    fn renew_leases(
        &mut self,
        context: &Context<'_>,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) -> Vec<Fence> {
        let end = context.now + self.times().lease();
        let mut unrecognised = Vec::new();
        for fence in &heartbeat.held {
            let slice = self.fences.get(fence);
            let entry = slice.and_then(|slice| self.slices.get_mut(slice));
            let (Some(slice), Some(entry)) = (slice, entry) else {
                unrecognised.push(*fence);
                continue;
            };
            let SliceState::Granted(assignment) = &mut entry.state else {
                unrecognised.push(*fence);
                continue;
            };
            let same = assignment.fence == *fence
                && assignment.node == heartbeat.node
                && assignment.incarnation == heartbeat.incarnation;
            if !same {
                unrecognised.push(*fence);
                continue;
            }
            assignment.latest_end = assignment.latest_end.max(Some(end));
            if !assignment.confirmed {
                assignment.confirmed = true;
                self.changed = true;
                out.explain(Happening::GrantConfirmed {
                    slice: slice.clone(),
                    fence: *fence,
                    node: heartbeat.node.clone(),
                    waited: entry.end_vacancy(context.now),
                });
            }
        }
        unrecognised
    }

    fn pending_grants(
        &mut self,
        context: &Context<'_>,
        node: &NodeName,
        incarnation: Incarnation,
    ) -> Vec<Grant> {
        let end = context.now + self.times().lease();
        let lease = self.times().lease();
        let peer = self.peers.get(node);
        if peer.is_some_and(|peer| !peer.is_reached_within(context.now, lease)) {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for (slice, entry) in &mut self.slices {
            let previous = entry.previous;
            let SliceState::Granted(assignment) = &mut entry.state else {
                continue;
            };
            let own = assignment.node == *node && assignment.incarnation == incarnation;
            if !own || assignment.confirmed {
                continue;
            }
            assignment.latest_end = assignment.latest_end.max(Some(end));
            grants.push(Grant {
                slice: slice.clone(),
                fence: assignment.fence,
                previous,
            });
        }
        grants
    }

    fn pending_drains(&self, node: &NodeName, incarnation: Incarnation) -> Vec<Drain> {
        let mut drains = Vec::new();
        for entry in self.slices.values() {
            let (Some(plan), Some(assignment)) = (&entry.planned_move, entry.assignment()) else {
                continue;
            };
            if assignment.node != *node || assignment.incarnation != incarnation {
                continue;
            }
            let target = plan.target.as_ref();
            let successor = target.and_then(|target| self.peers.get(target));
            drains.push(Drain {
                fence: assignment.fence,
                successor: successor.map(|peer| peer.member.clone()),
            });
        }
        drains
    }
}
