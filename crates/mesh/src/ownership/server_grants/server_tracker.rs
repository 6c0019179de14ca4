//! What a node knows of its backend server.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::CallGrants;
use super::HeartbeatAnswer;
use super::Lease;
use super::incarnation_order::IncarnationOrder;
use crate::model::Granting;
use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::model::ReleasedRange;
use crate::model::Renewal;
use crate::model::ServerHeartbeat;
use crate::model::ServerIncarnation;
use crate::ownership::LeaseTimes;

/// The number of heartbeats of an incarnation after which a node knows what the server holds. When the
/// server sent the first one, an answer of the node's earlier process may still have been on its way.
const HEARTBEATS_TO_KNOW_HOLDING: u32 = 2;
/// How many heartbeats a server may have sent that this process has not received for it to count as just
/// started. A host's server and process start together.
const MAX_UNHEARD: u64 = 3;
/// The shortest lease that is worth granting.
const MIN_LEASE: Duration = Duration::from_millis(100);
/// How long a release is reported to the leader, and recognised when the server repeats it. A server
/// repeats a release in a few heartbeats at most, and node heartbeats to the leader can be lost.
const RELEASE_RETENTION: Duration = Duration::from_secs(10);
/// How many incarnations are remembered that said in a response that they are leaving.
const MAX_DRAINING: usize = 8;

/// Tracks the incarnations of the host's backend server, what it was granted, and what it still holds.
#[derive(Clone, Debug, Default)]
pub(in crate::ownership) struct ServerTracker {
    pub(super) current: Option<CurrentServer>,
    order: IncarnationOrder,
    /// Incarnations that said in a response that they are leaving. Their heartbeats may not say so, or may
    /// be late.
    draining: Vec<ServerIncarnation>,
    pub(super) call_grants: CallGrants,
}

/// The server's incarnation whose heartbeats arrive now.
#[derive(Clone, Debug)]
pub(super) struct CurrentServer {
    pub(super) newest: ServerHeartbeat,
    heartbeats: u32,
    pub(super) heartbeat_at: Moment,
    cold_until: Moment,
    grants: Vec<HeartbeatGrant>,
    /// Until when the ranges in its heartbeats may stem from grants of this node's earlier process, and so
    /// count as held even though this process has not granted them.
    inherited_until: Moment,
    released: Vec<(Moment, ReleasedRange)>,
}

/// A range that an answer to a heartbeat granted.
#[derive(Clone, Copy, Debug)]
struct HeartbeatGrant {
    held: HeldRange,
    /// The sequence number of the heartbeat whose answer granted it first.
    first_sequence: u64,
    until: Moment,
    /// Whether the newest renewal lists it too; if not, the server is to release it.
    renewed: bool,
}

impl ServerTracker {
    /// Handles a heartbeat and returns the answer to it.
    pub(in crate::ownership) fn handle_heartbeat(
        &mut self,
        now: Moment,
        heartbeat: ServerHeartbeat,
        granting: Granting,
        lease: Option<&Lease>,
        times: &LeaseTimes,
    ) -> HeartbeatAnswer {
        if self.is_stale(now, &heartbeat) {
            return HeartbeatAnswer::Acknowledged;
        }
        match granting {
            Granting::ByHeartbeat => {
                self.record_heartbeat(now, heartbeat, times);
                self.renew(now, lease)
            }
            Granting::ByCall => {
                // The responses to calls tell what the server holds and has released.
                let without_ranges = ServerHeartbeat {
                    holds: Vec::new(),
                    released: Vec::new(),
                    ..heartbeat
                };
                self.record_heartbeat(now, without_ranges, times);
                HeartbeatAnswer::Acknowledged
            }
        }
    }

    /// Records a reading of the host's time of day.
    pub(in crate::ownership) fn record_clock(&mut self, now: Moment, unix_ms: u64) {
        self.order.record_clock(now, unix_ms);
    }

    /// Returns the time of day in Unix milliseconds, if it was ever read.
    pub(in crate::ownership) fn unix_time(&self, now: Moment) -> Option<u64> {
        self.order.unix_time(now)
    }

    /// Records that an incarnation has started, of which a heartbeat may not have come.
    pub(in crate::ownership) fn record_start(&mut self, incarnation: &ServerIncarnation) {
        self.order.record_start(incarnation);
    }

    /// Tells whether an incarnation has succeeded one with a later start time.
    pub(in crate::ownership) fn is_proven_successor(
        &self,
        incarnation: &ServerIncarnation,
    ) -> bool {
        self.order.is_proven(incarnation)
    }

    /// Forgets that an incarnation has succeeded one with a later start time, as it has left too.
    pub(in crate::ownership) fn forget_proof(&mut self, incarnation: &ServerIncarnation) {
        self.order.forget_proof(incarnation);
    }

    /// Records that an incarnation of the server said in a response that it is leaving.
    pub(in crate::ownership) fn record_draining(&mut self, incarnation: ServerIncarnation) {
        if !self.draining.contains(&incarnation) {
            if self.draining.len() == MAX_DRAINING {
                self.draining.remove(0);
            }
            self.draining.push(incarnation);
        }
    }

    /// Tells whether the incarnation that sent the newest heartbeat is leaving.
    pub(in crate::ownership) fn is_draining(&self) -> bool {
        let newest = self.current.as_ref().map(|current| &current.newest);
        newest.is_some_and(|newest| newest.draining || self.draining.contains(&newest.incarnation))
    }

    /// Returns the incarnation that sent the newest heartbeat.
    pub(in crate::ownership) fn incarnation(&self) -> Option<&ServerIncarnation> {
        self.current
            .as_ref()
            .map(|current| &current.newest.incarnation)
    }

    /// Returns the newest heartbeat.
    pub(in crate::ownership) fn newest(&self) -> Option<&ServerHeartbeat> {
        self.current.as_ref().map(|current| &current.newest)
    }

    /// Tells whether the server had been running for a while when this process received its first
    /// heartbeat, so that other nodes may know what this one does not.
    pub(in crate::ownership) fn ran_before(&self) -> bool {
        self.current.as_ref().is_some_and(|current| {
            let unheard = current
                .newest
                .sequence
                .saturating_sub(u64::from(current.heartbeats));
            unheard > MAX_UNHEARD
        })
    }

    /// Returns until when the server is cold, by its newest heartbeat.
    pub(in crate::ownership) fn cold_until(&self) -> Moment {
        self.current
            .as_ref()
            .map_or(Moment::default(), |current| current.cold_until)
    }

    /// Returns when the newest heartbeat arrived.
    pub(in crate::ownership) fn heartbeat_at(&self) -> Option<Moment> {
        self.current.as_ref().map(|current| current.heartbeat_at)
    }

    /// Tells whether enough heartbeats have arrived to know what the server holds.
    pub(in crate::ownership) fn is_holding_known(&self, granting: Granting) -> bool {
        let needed = match granting {
            Granting::ByHeartbeat => HEARTBEATS_TO_KNOW_HOLDING,
            // Its heartbeats do not tell what it holds.
            Granting::ByCall => 1,
        };
        self.current
            .as_ref()
            .is_some_and(|current| current.heartbeats >= needed)
    }

    /// Returns everything that the server may hold now.
    pub(in crate::ownership) fn holding(&self, now: Moment) -> Vec<HeldRange> {
        let Some(current) = &self.current else {
            return Vec::new();
        };
        let mut holding: Vec<HeldRange> =
            current.live_grants(now).map(|grant| grant.held).collect();
        if now < current.inherited_until {
            holding.extend(&current.newest.holds);
        }
        holding.extend(self.call_grants.holding(now, &current.newest.incarnation));
        holding.sort_unstable();
        holding.dedup();
        holding
    }

    /// Returns the ranges that the server serves now, each with the end of its grant.
    pub(in crate::ownership) fn serving(
        &self,
        now: Moment,
        lease: Option<&Lease>,
    ) -> Vec<(HeldRange, Moment)> {
        let Some(current) = &self.current else {
            return Vec::new();
        };
        let renewed = current.live_grants(now).filter(|grant| grant.renewed);
        let mut serving: Vec<(HeldRange, Moment)> =
            renewed.map(|grant| (grant.held, grant.until)).collect();
        let incarnation = &current.newest.incarnation;
        if let Some(lease) = lease.filter(|lease| lease.assignment.server == *incarnation) {
            let ranges = &lease.assignment.ranges;
            serving.extend(self.call_grants.serving(now, incarnation, ranges));
        }
        serving
    }

    /// Returns the ranges that the server has released recently.
    pub(in crate::ownership) fn released(&self, now: Moment) -> Vec<ReleasedRange> {
        let Some(current) = &self.current else {
            return Vec::new();
        };
        let recent = current
            .released
            .iter()
            .filter(|(at, _)| now.since(*at) < RELEASE_RETENTION);
        recent.map(|(_, released)| released.clone()).collect()
    }

    fn is_stale(&mut self, now: Moment, heartbeat: &ServerHeartbeat) -> bool {
        if let Some(current) = &self.current
            && current.newest.incarnation == heartbeat.incarnation
        {
            return heartbeat.sequence <= current.newest.sequence;
        }
        self.order.is_earlier(now, heartbeat, self.heartbeat_at())
    }

    fn record_heartbeat(&mut self, now: Moment, heartbeat: ServerHeartbeat, times: &LeaseTimes) {
        self.order.record_start(&heartbeat.incarnation);
        let current = match &mut self.current {
            Some(current) if current.newest.incarnation == heartbeat.incarnation => current,
            // A new incarnation holds nothing that an earlier one was granted.
            slot => slot.insert(CurrentServer {
                newest: heartbeat.clone(),
                heartbeats: 0,
                heartbeat_at: now,
                cold_until: now,
                grants: Vec::new(),
                inherited_until: now + LeaseTimes::plus_clock_drift(times.lease),
                released: Vec::new(),
            }),
        };
        current.heartbeats += 1;
        current.heartbeat_at = now;
        current.cold_until = now + heartbeat.cold;
        current.drop_old_releases(now);
        // The server repeats a release until a heartbeat is answered. A release reported before may
        // concern an earlier grant of the range.
        let is_new = |released: &&ReleasedRange| {
            !current.released.iter().any(|(_, known)| known == *released)
        };
        let new: Vec<ReleasedRange> = heartbeat.released.iter().filter(is_new).cloned().collect();
        current
            .released
            .extend(new.iter().map(|released| (now, released.clone())));
        // Only the server's own report of a release ends a grant early. A heartbeat that does not list a
        // range proves nothing, since it may have been sent before the answer arrived.
        let keys: Vec<KeyRange> = new.iter().map(|released| released.keys).collect();
        current.grants = std::mem::take(&mut current.grants)
            .into_iter()
            .flat_map(|grant| grant.without_released(&heartbeat, &keys))
            .collect();
        current.newest = heartbeat;
    }

    fn renew(&mut self, now: Moment, lease: Option<&Lease>) -> HeartbeatAnswer {
        let Some(current) = &mut self.current else {
            return HeartbeatAnswer::Acknowledged;
        };
        let valid = lease.filter(|lease| lease.assignment.server == current.newest.incarnation);
        let Some(lease) = valid.filter(|lease| lease.until.since(now) >= MIN_LEASE) else {
            return HeartbeatAnswer::Acknowledged;
        };
        let time = LeaseTimes::minus_clock_drift(lease.until.since(now));
        let sequence = current.newest.sequence;
        for grant in &mut current.grants {
            grant.renewed = false;
        }
        for range in &lease.assignment.ranges {
            let earlier = current.grants.iter().find(|grant| grant.held == range.held);
            let first_sequence = earlier.map_or(sequence, |earlier| earlier.first_sequence);
            current.grants.retain(|grant| grant.held != range.held);
            current.grants.push(HeartbeatGrant {
                held: range.held,
                first_sequence,
                until: lease.until,
                renewed: true,
            });
        }
        HeartbeatAnswer::Renewed(Renewal {
            ranges: lease.assignment.ranges.clone(),
            hold: time,
        })
    }
}

impl HeartbeatGrant {
    /// Returns what is left of the grant after the releases that a later heartbeat reports.
    fn without_released(self, heartbeat: &ServerHeartbeat, released: &[KeyRange]) -> Vec<Self> {
        if self.first_sequence >= heartbeat.sequence {
            return vec![self];
        }
        let mut parts = vec![self.held.keys];
        for keys in released {
            let left = parts.iter().flat_map(|part| part.without(keys));
            parts = left.flatten().collect();
        }
        let rest = parts.into_iter().map(|keys| Self {
            held: HeldRange { keys, ..self.held },
            ..self
        });
        rest.collect()
    }
}

impl CurrentServer {
    /// Records a range that the server has released.
    pub(super) fn record_release(&mut self, now: Moment, released: ReleasedRange) {
        self.drop_old_releases(now);
        self.released.push((now, released));
    }

    fn drop_old_releases(&mut self, now: Moment) {
        self.released
            .retain(|(at, _)| now.since(*at) < RELEASE_RETENTION);
    }

    fn live_grants(&self, now: Moment) -> impl Iterator<Item = &HeartbeatGrant> {
        self.grants.iter().filter(move |grant| now < grant.until)
    }
}
