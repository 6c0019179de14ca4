//! Leases that end, and slices that become free.

use std::time::Duration;

use super::Assignment;
use super::Context;
use super::Controller;
use super::Outbox;
use super::SliceEntry;
use super::SliceState;
use crate::explain::GrantReason;
use crate::explain::Happening;
use crate::ids::SliceId;
use crate::ids::SliceIndex;
use crate::time::Moment;

impl Controller {
    /// Makes the books hold the slices that the document names.
    pub(super) fn sync_slices(&mut self, context: &Context<'_>) {
        let Some(intent) = context.intent else {
            return;
        };
        let until = self.unreported_until(context);
        let vacant = Some(self.opened);
        self.divisions.add_services(context);
        for service in &intent.document.services {
            for index in 0..self.divisions.count(&service.name) {
                let slice = SliceId {
                    service: service.name.clone(),
                    index: SliceIndex(index),
                };
                if self.slices.contains_key(&slice) {
                    continue;
                }
                let entry = match until {
                    Some(until) if until > context.now => SliceEntry::open(
                        SliceState::Waiting(until),
                        GrantReason::Unreported,
                        vacant,
                    ),
                    _ => SliceEntry::open(SliceState::Free, GrantReason::Unowned, vacant),
                };
                self.slices.insert(slice, entry);
            }
        }
        self.slices.retain(|slice, entry| {
            self.divisions.has_slice(context, slice) || !matches!(entry.state, SliceState::Free)
        });
    }

    /// Explains once for each document which divisions of it are not followed.
    pub(super) fn explain_divisions(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let Some(intent) = context.intent else {
            return;
        };
        if self.explained == Some(intent.version) {
            return;
        }
        self.explained = Some(intent.version);
        for service in &intent.document.services {
            let slices = self.divisions.count(&service.name);
            if slices != service.slices {
                out.explain(Happening::DivisionKept {
                    service: service.name.clone(),
                    slices,
                    wanted: service.slices,
                });
            }
        }
    }

    /// Ends the leases of silent holders and frees what can have no holder any more.
    pub(super) fn settle_leases(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let confirmed = self.authority.confirmed();
        let margin = self.times().margin();
        for (slice, entry) in &mut self.slices {
            match &entry.state {
                SliceState::Waiting(until) if *until < context.now => {
                    out.explain(Happening::SliceUnreported {
                        slice: slice.clone(),
                    });
                    entry.state = SliceState::Free;
                }
                SliceState::Granted(assignment) if is_over(assignment, context.now, margin) => {
                    out.explain(Happening::HolderSilent {
                        slice: slice.clone(),
                        fence: assignment.fence,
                        node: assignment.node.clone(),
                    });
                    self.fences.remove(&assignment.fence);
                    self.touched = true;
                    let heard = self.seats.get(&assignment.node).and_then(|seat| seat.heard);
                    entry.vacant = entry.vacant.or(heard.min(assignment.end));
                    entry.state = SliceState::Lapsed(context.now);
                    entry.reason = GrantReason::HolderSilent;
                    entry.previous = None;
                    entry.planned = None;
                }
                // A silent holder may follow a higher controller that extended its lease. That one
                // had a majority before the lapse, so a majority that acknowledges a message sent
                // after the lapse shows that there is none.
                SliceState::Lapsed(since)
                    if confirmed.is_some_and(|confirmed| confirmed > *since)
                        || !context.rules.confirm_lapse =>
                {
                    entry.state = SliceState::Free;
                }
                _ => {}
            }
        }
    }

    /// Takes back grants that were never sent to a node that has fallen silent or restarted.
    pub(super) fn cancel_unsent(&mut self, now: Moment) {
        let lease = self.times().lease();
        for entry in self.slices.values_mut() {
            let Some(assignment) = entry.assignment() else {
                continue;
            };
            let seat = self.seats.get(&assignment.node);
            let there = seat.is_some_and(|seat| {
                let same = seat.member.incarnation == assignment.incarnation;
                same && seat.is_heard_within(now, lease)
            });
            if !there && assignment.end.is_none() {
                self.fences.remove(&assignment.fence);
                entry.state = SliceState::Free;
            }
        }
    }
}

fn is_over(assignment: &Assignment, now: Moment, margin: Duration) -> bool {
    assignment.end.is_some_and(|end| end + margin < now)
}
