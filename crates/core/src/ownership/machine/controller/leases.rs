//! Expiry of leases, and the slices that become free.

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
    /// Adds the slices that the document names and removes free ones that it no longer names.
    pub(super) fn sync_slices(&mut self, context: &Context<'_>) {
        let Some(intent) = context.intent else {
            return;
        };
        let until = self.unreported_until(context);
        let vacant_since = Some(self.opened);
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
                        SliceState::Unreported(until),
                        GrantReason::Unreported,
                        vacant_since,
                    ),
                    _ => SliceEntry::open(SliceState::Free, GrantReason::Unowned, vacant_since),
                };
                self.slices.insert(slice, entry);
            }
        }
        self.slices.retain(|slice, entry| {
            self.divisions.has_slice(context, slice) || !matches!(entry.state, SliceState::Free)
        });
    }

    /// Reports, once for each document, the services whose new slice count is not applied.
    pub(super) fn explain_divisions(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let Some(intent) = context.intent else {
            return;
        };
        if self.explained_version == Some(intent.version) {
            return;
        }
        self.explained_version = Some(intent.version);
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

    /// Expires the leases of silent holders and frees the slices that can no longer have a holder.
    pub(super) fn expire_leases(&mut self, context: &Context<'_>, out: &mut Outbox) {
        let confirmed = self.authority.confirmed_at();
        let margin = self.times().margin();
        for (slice, entry) in &mut self.slices {
            match &entry.state {
                SliceState::Unreported(until) if *until < context.now => {
                    out.explain(Happening::SliceUnreported {
                        slice: slice.clone(),
                    });
                    entry.state = SliceState::Free;
                }
                SliceState::Granted(assignment) if is_expired(assignment, context.now, margin) => {
                    out.explain(Happening::HolderSilent {
                        slice: slice.clone(),
                        fence: assignment.fence,
                        node: assignment.node.clone(),
                    });
                    self.fences.remove(&assignment.fence);
                    self.changed = true;
                    let last_heartbeat = self
                        .peers
                        .get(&assignment.node)
                        .and_then(|peer| peer.last_heartbeat);
                    entry.vacant_since = entry
                        .vacant_since
                        .or(last_heartbeat.min(assignment.latest_end));
                    entry.state = SliceState::Lapsed(context.now);
                    entry.reason = GrantReason::HolderSilent;
                    entry.previous = None;
                    entry.planned_move = None;
                }
                // The silent holder may follow a higher controller that extended its lease. That
                // controller had its majority before the lapse, so a majority that acknowledges a
                // message sent after the lapse proves that there is none.
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

    /// Cancels grants that were never sent to a node that has fallen silent or restarted.
    pub(super) fn cancel_unsent_grants(&mut self, now: Moment) {
        let lease = self.times().lease();
        for entry in self.slices.values_mut() {
            let Some(assignment) = entry.assignment() else {
                continue;
            };
            let peer = self.peers.get(&assignment.node);
            let alive = peer.is_some_and(|peer| {
                let same = peer.member.incarnation == assignment.incarnation;
                same && peer.is_responsive_within(now, lease)
            });
            if !alive && assignment.latest_end.is_none() {
                self.fences.remove(&assignment.fence);
                entry.state = SliceState::Free;
            }
        }
    }
}

fn is_expired(assignment: &Assignment, now: Moment, margin: Duration) -> bool {
    assignment.latest_end.is_some_and(|end| end + margin < now)
}
