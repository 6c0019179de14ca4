//! Heartbeats to the controller.

use std::time::Duration;

use super::Holder;
use super::SentHeartbeat;
use super::Voice;
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
const SHORTEST_GAP: Duration = Duration::from_millis(10);
/// How often the load goes along; a controller moves slices far more seldom.
const LOAD_PERIOD: Duration = Duration::from_millis(1_000);
/// How many hot keys are named.
const NAMED_KEYS: usize = 4;

impl Holder {
    /// Tells whether a heartbeat is due.
    pub(in crate::ownership::machine) fn is_due(&self, now: Moment) -> bool {
        let rested = self
            .last_beat
            .is_none_or(|last| now.since(last) >= SHORTEST_GAP);
        rested && self.next_beat <= now
    }

    /// Makes the next heartbeat and remembers when it was sent.
    pub(in crate::ownership::machine) fn beat(
        &mut self,
        now: Moment,
        times: LeaseTimes,
        voice: Voice,
    ) -> Heartbeat {
        self.number += 1;
        self.last_beat = Some(now);
        self.next_beat = now + times.heartbeat();
        let oldest = now.before(times.lease());
        self.sent.retain(|_, heartbeat| heartbeat.sent >= oldest);
        let confirmed = self.leases.iter().filter(|(_, lease)| lease.is_confirmed());
        let held: Vec<_> = confirmed
            .map(|(slice, lease)| (slice.clone(), lease.fence))
            .collect();
        let profile = !self.answered || self.profile != self.known_profile;
        let load = self.due_load(now, &held);
        let heartbeat = Heartbeat {
            node: self.own.node.clone(),
            incarnation: self.own.incarnation,
            number: self.number,
            ballot: voice.ballot,
            acked: voice.round,
            round: voice.heard,
            held: held.iter().map(|(_, fence)| *fence).collect(),
            released: self.released.iter().copied().collect(),
            leases: (!self.answered).then(|| self.report(now)),
            profile: profile.then(|| self.describe()),
            load,
            routing: voice.routing,
        };
        let sent = SentHeartbeat {
            sent: now,
            held,
            released: heartbeat.released.clone(),
            profile: profile.then_some(self.profile),
        };
        self.sent.insert(self.number, sent);
        heartbeat
    }

    fn report(&self, now: Moment) -> Vec<LeaseReport> {
        let holding = |(slice, lease): (&_, &super::HeldLease)| LeaseReport {
            slice: Clone::clone(slice),
            fence: lease.fence,
            remaining: whole_milliseconds(lease.deadline.since(now)),
            confirmed: lease.is_confirmed(),
        };
        self.leases.iter().map(holding).collect()
    }

    fn describe(&self) -> Profile {
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
            .load_sent
            .is_none_or(|sent| now.since(sent) >= LOAD_PERIOD);
        if !due {
            return None;
        }
        let measure = self.load.as_ref()?;
        self.load_sent = Some(now);
        let rate = |slice: &SliceId| {
            let found = measure.slices.iter().find(|load| load.slice == *slice);
            found.map_or(0, |load| load.rate.round() as u32)
        };
        let mut keys: Vec<KeyRate> = measure
            .keys
            .iter()
            .map(|load| KeyRate {
                key: load.key,
                rate: load.rate.round() as u32,
            })
            .collect();
        keys.sort_by_key(|key| std::cmp::Reverse(key.rate));
        keys.truncate(NAMED_KEYS);
        Some(LoadReport {
            limit: measure.limit,
            in_flight: measure.in_flight,
            latency_us: measure.latency_us,
            state: measure.state,
            rates: held.iter().map(|(slice, _)| rate(slice)).collect(),
            keys,
        })
    }
}

fn whole_milliseconds(span: Duration) -> Milliseconds {
    Milliseconds(u32::try_from(span.as_millis()).unwrap_or(u32::MAX))
}
