//! Heartbeats to the controller.

use std::time::Duration;

use super::HeartbeatContext;
use super::Holder;
use super::SentHeartbeat;
use crate::cluster::ServerState;
use crate::ids::Fence;
use crate::ids::SliceId;
use crate::ids::SlotCount;
use crate::ownership::LeaseTimes;
use crate::ownership::message::Heartbeat;
use crate::ownership::message::KeyRate;
use crate::ownership::message::LeaseReport;
use crate::ownership::message::LoadReport;
use crate::ownership::message::Profile;
use crate::time::Milliseconds;
use crate::time::Moment;

/// The shortest time between two heartbeats, so that a burst of confirmed grants shares one.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(10);
/// How often heartbeats carry the load; a controller moves slices much less often.
const LOAD_PERIOD: Duration = Duration::from_millis(1_000);
/// How many hot keys are reported at most.
const MAX_HOT_KEYS: usize = 4;

impl Holder {
    /// Tells whether a heartbeat is due.
    pub(in crate::ownership::machine) fn is_heartbeat_due(&self, now: Moment) -> bool {
        let interval_passed = self
            .last_heartbeat
            .is_none_or(|last| now.since(last) >= MIN_HEARTBEAT_INTERVAL);
        interval_passed && self.next_heartbeat <= now
    }

    /// Builds the next heartbeat and remembers when it was sent.
    pub(in crate::ownership::machine) fn build_heartbeat(
        &mut self,
        now: Moment,
        times: LeaseTimes,
        context: HeartbeatContext,
    ) -> Heartbeat {
        self.heartbeat_number += 1;
        self.last_heartbeat = Some(now);
        self.next_heartbeat = now + times.heartbeat();
        let oldest = now.before(times.lease());
        self.unanswered
            .retain(|_, heartbeat| heartbeat.sent_at >= oldest);
        let confirmed = self.leases.iter().filter(|(_, lease)| lease.is_confirmed());
        let held: Vec<_> = confirmed
            .map(|(slice, lease)| (slice.clone(), lease.fence))
            .collect();
        let sends_profile = !self.report_answered || self.profile_version != self.answered_profile;
        let load = self.due_load(now, &held);
        let heartbeat = Heartbeat {
            node: self.own.node.clone(),
            incarnation: self.own.incarnation,
            number: self.heartbeat_number,
            ballot: context.ballot,
            acked: context.acked,
            round: context.round,
            held: held.iter().map(|(_, fence)| *fence).collect(),
            released: self.released.iter().copied().collect(),
            leases: (!self.report_answered).then(|| self.lease_reports(now)),
            profile: sends_profile.then(|| self.own_profile()),
            load,
            routing: context.routing,
        };
        let sent = SentHeartbeat {
            sent_at: now,
            held,
            released: heartbeat.released.clone(),
            profile_version: sends_profile.then_some(self.profile_version),
        };
        self.unanswered.insert(self.heartbeat_number, sent);
        heartbeat
    }

    fn lease_reports(&self, now: Moment) -> Vec<LeaseReport> {
        let report = |(slice, lease): (&_, &super::HeldLease)| LeaseReport {
            slice: Clone::clone(slice),
            fence: lease.fence,
            remaining: whole_milliseconds(lease.deadline.since(now)),
            confirmed: lease.is_confirmed(),
        };
        self.leases.iter().map(report).collect()
    }

    fn own_profile(&self) -> Profile {
        let server = self.server.as_ref();
        Profile {
            member: self.member(),
            slots: server.map_or(SlotCount(0), |server| server.slots),
            state: server.map_or(ServerState::Cold, |server| server.state),
            leaving: self.leaving,
        }
    }

    fn due_load(&mut self, now: Moment, held: &[(SliceId, Fence)]) -> Option<LoadReport> {
        let due = self
            .last_load
            .is_none_or(|sent| now.since(sent) >= LOAD_PERIOD);
        if !due {
            return None;
        }
        let stats = self.measured_load.as_ref()?;
        self.last_load = Some(now);
        let rate = |slice: &SliceId| {
            let found = stats.slices.iter().find(|load| load.slice == *slice);
            found.map_or(0, |load| load.rate.round() as u32)
        };
        let mut keys: Vec<KeyRate> = stats
            .keys
            .iter()
            .map(|load| KeyRate {
                key: load.key,
                rate: load.rate.round() as u32,
            })
            .collect();
        keys.sort_by_key(|key| std::cmp::Reverse(key.rate));
        keys.truncate(MAX_HOT_KEYS);
        Some(LoadReport {
            limit: stats.limit,
            in_flight: stats.in_flight,
            latency_us: stats.latency_us,
            state: stats.state,
            rates: held.iter().map(|(slice, _)| rate(slice)).collect(),
            keys,
        })
    }
}

fn whole_milliseconds(span: Duration) -> Milliseconds {
    Milliseconds(u32::try_from(span.as_millis()).unwrap_or(u32::MAX))
}
