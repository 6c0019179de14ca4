//! The leases that one node holds.

mod answers;
mod grant_stage;
mod heartbeat_context;
mod heartbeats;
mod held_lease;
mod sent_heartbeat;
mod server;

pub(super) use grant_stage::GrantStage;
pub(super) use heartbeat_context::HeartbeatContext;
pub(super) use held_lease::HeldLease;
pub(super) use sent_heartbeat::SentHeartbeat;

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

/// Holds the leases of this node and decides how long each may be used.
#[derive(Debug)]
pub(super) struct Holder {
    own: Member,
    rules: SafetyRules,
    server: Option<Announcement>,
    leases: BTreeMap<SliceId, HeldLease>,
    ended_grants: BTreeMap<SliceId, Fence>,
    released: BTreeSet<Fence>,
    unanswered: BTreeMap<u64, SentHeartbeat>,
    heartbeat_number: u64,
    next_heartbeat: Moment,
    last_heartbeat: Option<Moment>,
    report_answered: bool,
    last_answer: Option<Moment>,
    profile_version: u64,
    answered_profile: u64,
    leaving: bool,
    measured_load: Option<TrafficStats>,
    last_load: Option<Moment>,
    published: LeaseTable,
}

impl Holder {
    pub(super) fn open(own: Member, rules: SafetyRules) -> Self {
        Self {
            own,
            rules,
            server: None,
            leases: BTreeMap::new(),
            ended_grants: BTreeMap::new(),
            released: BTreeSet::new(),
            unanswered: BTreeMap::new(),
            heartbeat_number: 0,
            next_heartbeat: Moment(0),
            last_heartbeat: None,
            report_answered: false,
            last_answer: None,
            profile_version: 1,
            answered_profile: 0,
            leaving: false,
            measured_load: None,
            last_load: None,
            published: LeaseTable::default(),
        }
    }

    pub(super) fn holds_any(&self) -> bool {
        !self.leases.is_empty()
    }

    /// Returns when a controller last answered this incarnation.
    pub(super) fn last_answer(&self) -> Option<Moment> {
        self.last_answer
    }

    /// Returns this node with its backend server as announced.
    pub(super) fn member(&self) -> Member {
        let mut member = self.own.clone();
        member.server = self.server.as_ref().map(|server| server.server.clone());
        member.service = self.server.as_ref().map(|server| server.service.clone());
        member
    }

    /// Drops every lease whose deadline has passed. This runs first at every event, because a node
    /// that was paused must drop its lapsed leases before it acts on them.
    pub(super) fn expire(&mut self, now: Moment, out: &mut Outbox) {
        let lapsed = |(slice, lease): (&SliceId, &HeldLease)| {
            (lease.deadline <= now).then(|| (slice.clone(), lease.fence))
        };
        let lapsed: Vec<_> = self.leases.iter().filter_map(lapsed).collect();
        for (slice, fence) in lapsed {
            self.drop_lease(&slice, fence, LapseReason::NotRenewed, out);
        }
    }

    /// Prepares for a newly adopted controller. Leases stay in force, but answers of the old
    /// controller no longer count; otherwise it could extend a lease beyond the end that was
    /// reported to the new one.
    pub(super) fn handle_new_controller(&mut self, now: Moment) {
        if self.rules.void_heartbeats {
            self.unanswered.clear();
        }
        self.report_answered = false;
        self.next_heartbeat = now;
    }

    /// Schedules a heartbeat that reports every lease, because the controller does not know this
    /// node.
    pub(super) fn schedule_report(&mut self, now: Moment) {
        self.report_answered = false;
        self.next_heartbeat = now;
    }

    /// Makes the next heartbeat due at once.
    pub(super) fn expedite_heartbeat(&mut self, now: Moment) {
        self.next_heartbeat = self.next_heartbeat.min(now);
    }

    pub(super) fn record_load(&mut self, stats: TrafficStats) {
        self.measured_load = Some(stats);
    }

    pub(super) fn start_leaving(&mut self, now: Moment) {
        self.leaving = true;
        self.profile_version += 1;
        self.expedite_heartbeat(now);
    }

    /// Handles the backend server's answer to a grant.
    pub(super) fn handle_grant_outcome(
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
        if lease.fence != fence || lease.stage != GrantStage::Activating {
            return;
        }
        let reason = match outcome {
            GrantOutcome::Taken => {
                lease.stage = GrantStage::Active;
                self.expedite_heartbeat(now);
                return;
            }
            GrantOutcome::Outdated(_) => WithdrawReason::Outdated,
            GrantOutcome::Unreachable => WithdrawReason::Unreachable,
        };
        self.withdraw(now, slice, fence, reason, out);
    }

    /// Makes the traffic threads drain a slice.
    pub(super) fn drain(&mut self, fence: Fence, successor: Option<Member>, out: &mut Outbox) {
        let found = self
            .leases
            .iter_mut()
            .find(|(_, lease)| lease.fence == fence);
        let Some((slice, lease)) = found else {
            return;
        };
        if lease.stage != GrantStage::Active {
            return;
        }
        lease.stage = GrantStage::Draining;
        out.push(OwnershipAction::DrainSlice {
            slice: slice.clone(),
            fence,
            successor,
        });
    }

    /// Drains every active slice without a successor, because no controller moves them away.
    pub(super) fn drain_all(&mut self, out: &mut Outbox) {
        let fences: Vec<Fence> = self.leases.values().map(|lease| lease.fence).collect();
        for fence in fences {
            self.drain(fence, None, out);
        }
    }

    /// Releases a drained slice.
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
        self.end_grant(slice, fence);
        self.expedite_heartbeat(now);
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
        self.end_grant(slice, fence);
        self.expedite_heartbeat(now);
        out.explain(Happening::GrantWithdrawn {
            slice: slice.clone(),
            fence,
            reason,
        });
    }

    fn drop_lease(&mut self, slice: &SliceId, fence: Fence, reason: LapseReason, out: &mut Outbox) {
        self.end_grant(slice, fence);
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

    /// Ends a grant for good. Every unanswered heartbeat is voided, because its answer could
    /// otherwise restore the grant after the controller has granted the slice to another node.
    fn end_grant(&mut self, slice: &SliceId, fence: Fence) {
        self.leases.remove(slice);
        self.released.insert(fence);
        if self.rules.fenced_release {
            self.ended_grants.insert(slice.clone(), fence);
            self.unanswered.clear();
        }
    }
}
