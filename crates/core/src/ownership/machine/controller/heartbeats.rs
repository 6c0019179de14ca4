//! Heartbeats of nodes and their answers.

use super::Context;
use super::Controller;
use super::Outbox;
use super::Seat;
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

/// The weight of the newest rate in the smoothed one.
const RATE_WEIGHT: f32 = 0.3;

impl Controller {
    /// Takes a heartbeat of a node that follows this controller, and answers it if it may.
    pub(in crate::ownership::machine) fn handle_heartbeat(
        &mut self,
        context: &Context<'_>,
        heartbeat: Box<Heartbeat>,
        out: &mut Outbox,
    ) {
        if !self.seat(context, &heartbeat, out) {
            return;
        }
        if let Some(round) = heartbeat.acked {
            self.authority.acknowledge(&heartbeat.node, round);
        }
        if !self.take_report(context, &heartbeat, out) {
            return;
        }
        self.take_releases(context, &heartbeat);
        self.take_load(&heartbeat);
        if self.established.is_some() && self.is_in_authority(context) {
            self.grant_free(context, out);
            self.answer(context, &heartbeat, out);
        } else if let Some(seat) = self.seats.get_mut(&heartbeat.node) {
            seat.unanswered = Some(heartbeat);
        }
    }

    /// Answers the heartbeats that came before the majority, so that their leases are extended at
    /// once.
    pub(super) fn answer_waiting(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let take = |seat: &mut Seat| seat.unanswered.take();
        let waiting: Vec<_> = self.seats.values_mut().filter_map(take).collect();
        for heartbeat in waiting {
            self.answer(context, &heartbeat, out);
        }
    }

    /// Finds the sender's seat; a heartbeat of an earlier life, or overtaken by a newer one, is
    /// left out.
    fn seat(&mut self, context: &Context<'_>, heartbeat: &Heartbeat, out: &mut Outbox) -> bool {
        let joins = self
            .seats
            .get(&heartbeat.node)
            .is_none_or(|seat| seat.heard.is_none());
        if let Some(profile) = &heartbeat.profile {
            self.admit(&profile.member);
        }
        let Some(seat) = self.seats.get_mut(&heartbeat.node) else {
            return false;
        };
        if seat.member.incarnation != heartbeat.incarnation || heartbeat.number <= seat.number {
            return false;
        }
        if seat.profile.is_none() && heartbeat.profile.is_none() {
            let node = heartbeat.node.clone();
            self.send_term(context, &node, out);
            return false;
        }
        seat.number = heartbeat.number;
        seat.heard = Some(context.now);
        seat.hears = seat.hears.max(self.authority.sent_at(heartbeat.round));
        if let Some(profile) = &heartbeat.profile {
            seat.member = profile.member.clone();
            seat.profile = Some(profile.clone());
            self.touched = true;
        }
        if joins {
            out.explain(Happening::MemberJoined {
                node: heartbeat.node.clone(),
                incarnation: heartbeat.incarnation,
            });
        }
        true
    }

    /// Takes a report, if there is one; it counts from the round that the node had heard.
    fn take_report(
        &mut self,
        context: &Context<'_>,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) -> bool {
        let Some(report) = &heartbeat.leases else {
            return true;
        };
        let Some(heard) = self.authority.sent_at(heartbeat.round) else {
            if report.is_empty() {
                return true;
            }
            let node = heartbeat.node.clone();
            self.send_term(context, &node, out);
            return false;
        };
        for holding in report {
            self.take_holding(
                context,
                &heartbeat.node,
                heartbeat.incarnation,
                heard,
                holding,
            );
        }
        true
    }

    /// Frees what the holder gave back. A release names its grant: one that comes late or twice
    /// must not free a newer grant of the same slice.
    fn take_releases(&mut self, context: &Context<'_>, heartbeat: &Heartbeat) {
        for fence in &heartbeat.released {
            let Some(slice) = self.fences.get(fence) else {
                continue;
            };
            let Some(entry) = self.slices.get_mut(slice) else {
                continue;
            };
            let owned = entry.assignment().is_some_and(|assignment| {
                (assignment.fence == *fence || !context.rules.fenced_release)
                    && assignment.node == heartbeat.node
                    && assignment.incarnation == heartbeat.incarnation
            });
            if !owned {
                continue;
            }
            let confirmed = entry.assignment().is_some_and(|known| known.confirmed);
            entry.release(context.now);
            self.touched = true;
            if context.rules.fenced_release {
                self.fences.remove(fence);
            }
            if !confirmed && let Some(seat) = self.seats.get_mut(&heartbeat.node) {
                seat.refused = seat.heard;
            }
        }
    }

    fn take_load(&mut self, heartbeat: &Heartbeat) {
        let Some(load) = &heartbeat.load else {
            return;
        };
        for (fence, rate) in heartbeat.held.iter().zip(&load.rates) {
            let slice = self.fences.get(fence);
            if let Some(entry) = slice.and_then(|slice| self.slices.get_mut(slice)) {
                entry.rate += (*rate as f32 - entry.rate) * RATE_WEIGHT;
            }
        }
        if let Some(seat) = self.seats.get_mut(&heartbeat.node) {
            seat.load = Some(load.clone());
            self.touched = true;
        }
    }

    /// Answers a heartbeat. Everything it grants or renews may be believed until one lease after
    /// this moment at the latest, because the heartbeat was sent earlier.
    fn answer(&mut self, context: &Context<'_>, heartbeat: &Heartbeat, out: &mut Outbox) {
        let Some(seat) = self.seats.get_mut(&heartbeat.node) else {
            return;
        };
        let to = seat.member.heartbeat;
        let version = context.intent.map(|intent| intent.version);
        let news = Updates {
            intent_version: version.and_then(|version| seat.tell_intent(version)),
            routing: self.routing.delta_since(heartbeat.routing),
        };
        let is_any = news.intent_version.is_some() || news.routing.is_some();
        let dropped = self.renew_held(context, heartbeat, out);
        let grants = self.pending_grants(context, &heartbeat.node, heartbeat.incarnation);
        let answer = Answer {
            ballot: self.ballot,
            incarnation: heartbeat.incarnation,
            number: heartbeat.number,
            round: self.authority.round_at(context.now),
            unrecognised: dropped,
            grants,
            drains: self.pending_drains(&heartbeat.node, heartbeat.incarnation),
            updates: is_any.then(|| Box::new(news)),
        };
        out.send(to, PeerMessage::Answer(Box::new(answer)));
    }

    fn renew_held(
        &mut self,
        context: &Context<'_>,
        heartbeat: &Heartbeat,
        out: &mut Outbox,
    ) -> Vec<Fence> {
        let end = context.now + self.times().lease();
        let mut dropped = Vec::new();
        for fence in &heartbeat.held {
            let slice = self.fences.get(fence);
            let entry = slice.and_then(|slice| self.slices.get_mut(slice));
            let (Some(slice), Some(entry)) = (slice, entry) else {
                dropped.push(*fence);
                continue;
            };
            let SliceState::Granted(assignment) = &mut entry.state else {
                dropped.push(*fence);
                continue;
            };
            let same = assignment.fence == *fence
                && assignment.node == heartbeat.node
                && assignment.incarnation == heartbeat.incarnation;
            if !same {
                dropped.push(*fence);
                continue;
            }
            assignment.end = assignment.end.max(Some(end));
            if !assignment.confirmed {
                assignment.confirmed = true;
                self.touched = true;
                out.explain(Happening::GrantConfirmed {
                    slice: slice.clone(),
                    fence: *fence,
                    node: heartbeat.node.clone(),
                    waited: entry.fill(context.now),
                });
            }
        }
        dropped
    }

    fn pending_grants(
        &mut self,
        context: &Context<'_>,
        node: &NodeName,
        incarnation: Incarnation,
    ) -> Vec<Grant> {
        let end = context.now + self.times().lease();
        let lease = self.times().lease();
        let seat = self.seats.get(node);
        if seat.is_some_and(|seat| !seat.hears_within(context.now, lease)) {
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
            assignment.end = assignment.end.max(Some(end));
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
            let (Some(plan), Some(assignment)) = (&entry.planned, entry.assignment()) else {
                continue;
            };
            if assignment.node != *node || assignment.incarnation != incarnation {
                continue;
            }
            let target = plan.target.as_ref();
            let successor = target.and_then(|target| self.seats.get(target));
            drains.push(Drain {
                fence: assignment.fence,
                successor: successor.map(|seat| seat.member.clone()),
            });
        }
        drains
    }
}
