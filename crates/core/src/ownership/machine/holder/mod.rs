//! The leases of one node.

mod answers;
mod heartbeats;
mod held_lease;
mod sent_heartbeat;
mod server;
mod stage;
mod voice;

pub(super) use held_lease::HeldLease;
pub(super) use sent_heartbeat::SentHeartbeat;
pub(super) use stage::Stage;
pub(super) use voice::Voice;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::Outbox;
use crate::boundary::GrantOutcome;
use crate::cluster::Announcement;
use crate::cluster::LeaseTable;
use crate::cluster::Member;
use crate::explain::Happening;
use crate::explain::LapseReason;
use crate::explain::WithdrawReason;
use crate::ids::Fence;
use crate::ids::SliceId;
use crate::ownership::OwnershipAction;
use crate::ownership::SafetyRules;
use crate::time::Moment;
use crate::traffic::TrafficStats;

/// Holds the grants of this node and decides until when each may be used.
#[derive(Debug)]
pub(super) struct Holder {
    own: Member,
    rules: SafetyRules,
    server: Option<Announcement>,
    leases: BTreeMap<SliceId, HeldLease>,
    ended: BTreeMap<SliceId, Fence>,
    released: BTreeSet<Fence>,
    sent: BTreeMap<u64, SentHeartbeat>,
    number: u64,
    next_beat: Moment,
    last_beat: Option<Moment>,
    answered: bool,
    answered_at: Option<Moment>,
    profile: u64,
    known_profile: u64,
    leaving: bool,
    load: Option<TrafficStats>,
    load_sent: Option<Moment>,
    published: LeaseTable,
}

impl Holder {
    pub(super) fn open(own: Member, rules: SafetyRules) -> Self {
        Self {
            own,
            rules,
            server: None,
            leases: BTreeMap::new(),
            ended: BTreeMap::new(),
            released: BTreeSet::new(),
            sent: BTreeMap::new(),
            number: 0,
            next_beat: Moment(0),
            last_beat: None,
            answered: false,
            answered_at: None,
            profile: 1,
            known_profile: 0,
            leaving: false,
            load: None,
            load_sent: None,
            published: LeaseTable::default(),
        }
    }

    pub(super) fn holds_any(&self) -> bool {
        !self.leases.is_empty()
    }

    /// Returns when a controller last answered this life.
    pub(super) fn last_answered(&self) -> Option<Moment> {
        self.answered_at
    }

    /// Returns this node with its backend server as announced.
    pub(super) fn member(&self) -> Member {
        let mut member = self.own.clone();
        member.server = self.server.as_ref().map(|server| server.server.clone());
        member.service = self.server.as_ref().map(|server| server.service.clone());
        member
    }

    /// Drops every lease whose deadline has passed. It runs before anything else at every event: a
    /// node that was paused must find its leases lapsed before it acts on them.
    pub(super) fn expire(&mut self, now: Moment, out: &mut Outbox) {
        let lapsed = |(slice, lease): (&SliceId, &HeldLease)| {
            (lease.deadline <= now).then(|| (slice.clone(), lease.fence))
        };
        let lapsed: Vec<_> = self.leases.iter().filter_map(lapsed).collect();
        for (slice, fence) in lapsed {
            self.forget(&slice, fence, LapseReason::NotRenewed, out);
        }
    }

    /// Follows a new controller. Leases stay in force; answers of the old controller do not count
    /// any more, or it could lengthen a lease that the new one takes for known.
    pub(super) fn follow(&mut self, now: Moment) {
        if self.rules.void_heartbeats {
            self.sent.clear();
        }
        self.answered = false;
        self.next_beat = now;
    }

    /// Sends a report with the next heartbeat, because the controller does not know this node.
    pub(super) fn introduce(&mut self, now: Moment) {
        self.answered = false;
        self.next_beat = now;
    }

    /// Brings the next heartbeat forward.
    pub(super) fn hurry(&mut self, now: Moment) {
        self.next_beat = self.next_beat.min(now);
    }

    pub(super) fn measure(&mut self, measure: TrafficStats) {
        self.load = Some(measure);
    }

    pub(super) fn leave(&mut self, now: Moment) {
        self.leaving = true;
        self.profile += 1;
        self.hurry(now);
    }

    /// Takes the backend server's answer to a grant.
    pub(super) fn finish_grant(
        &mut self,
        now: Moment,
        slice: &SliceId,
        fence: Fence,
        outcome: GrantOutcome,
        out: &mut Outbox,
    ) {
        let Some(lease) = self.leases.get_mut(slice) else {
            return;
        };
        if lease.fence != fence || lease.stage != Stage::Activating {
            return;
        }
        let reason = match outcome {
            GrantOutcome::Taken => {
                lease.stage = Stage::Active;
                self.hurry(now);
                return;
            }
            GrantOutcome::Outdated(_) => WithdrawReason::Outdated,
            GrantOutcome::Unreachable => WithdrawReason::Unreachable,
        };
        self.withdraw(now, slice, fence, reason, out);
    }

    /// Orders the traffic threads to finish a slice.
    pub(super) fn drain(&mut self, fence: Fence, successor: Option<Member>, out: &mut Outbox) {
        let found = self
            .leases
            .iter_mut()
            .find(|(_, lease)| lease.fence == fence);
        let Some((slice, lease)) = found else {
            return;
        };
        if lease.stage != Stage::Active {
            return;
        }
        lease.stage = Stage::Draining;
        out.push(OwnershipAction::DrainSlice {
            slice: slice.clone(),
            fence,
            successor,
        });
    }

    /// Drains every active slice without a successor, because no controller answers a leaving node.
    pub(super) fn drain_all(&mut self, out: &mut Outbox) {
        let fences: Vec<Fence> = self.leases.values().map(|lease| lease.fence).collect();
        for fence in fences {
            self.drain(fence, None, out);
        }
    }

    /// Gives a drained slice back.
    pub(super) fn finish_drain(
        &mut self,
        now: Moment,
        slice: &SliceId,
        fence: Fence,
        out: &mut Outbox,
    ) {
        let held = self.leases.get(slice);
        if held.is_none_or(|lease| lease.fence != fence) {
            return;
        }
        self.give_back(slice, fence);
        self.hurry(now);
        out.explain(Happening::SliceReleased {
            slice: slice.clone(),
            fence,
        });
    }

    /// Publishes the leases if they changed.
    pub(super) fn publish(&mut self, out: &mut Outbox) {
        let confirmed = self.leases.iter().filter(|(_, lease)| lease.is_confirmed());
        let leases = confirmed.map(|(slice, lease)| (slice.clone(), lease.as_lease()));
        let table = LeaseTable {
            leases: leases.collect(),
        };
        if table != self.published {
            self.published = table.clone();
            out.push(OwnershipAction::PublishLeases(Arc::new(table)));
        }
    }

    fn withdraw(
        &mut self,
        now: Moment,
        slice: &SliceId,
        fence: Fence,
        reason: WithdrawReason,
        out: &mut Outbox,
    ) {
        self.give_back(slice, fence);
        self.hurry(now);
        out.explain(Happening::GrantWithdrawn {
            slice: slice.clone(),
            fence,
            reason,
        });
    }

    fn forget(&mut self, slice: &SliceId, fence: Fence, reason: LapseReason, out: &mut Outbox) {
        self.give_back(slice, fence);
        out.push(OwnershipAction::ForgetSlice {
            slice: slice.clone(),
            fence,
        });
        out.explain(Happening::LeaseLapsed {
            slice: slice.clone(),
            fence,
            reason,
        });
    }

    /// Ends a grant for good. Every unanswered heartbeat becomes void: its answer could otherwise
    /// bring the grant back after the controller has given the slice to another node.
    fn give_back(&mut self, slice: &SliceId, fence: Fence) {
        self.leases.remove(slice);
        self.released.insert(fence);
        if self.rules.fenced_release {
            self.ended.insert(slice.clone(), fence);
            self.sent.clear();
        }
    }
}
