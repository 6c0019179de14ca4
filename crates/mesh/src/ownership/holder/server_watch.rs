//! What a node knows of the backend server beside it.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::CalledGrants;
use super::HeartbeatAnswer;
use super::Lease;
use crate::model::FreedRange;
use crate::model::Granting;
use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::model::Renewal;
use crate::model::ServerHeartbeat;
use crate::model::ServerId;
use crate::model::ServerLife;
use crate::ownership::LeaseTimes;

/// How many heartbeats of a life a node must have heard until it knows what the server holds: an
/// answer of the node's own earlier life may still have been on its way when the first was sent.
const SETTLED_BEATS: u32 = 2;
/// The shortest lease that is worth granting.
const SHORTEST: Duration = Duration::from_millis(100);
/// How long a released range is told to the leader, and known as told before: a server repeats it
/// for a few heartbeats at most, and beats are lost now and then.
const FREED_KEPT: Duration = Duration::from_secs(10);
/// How many lives that left are remembered, against heartbeats that come after them.
const LEFT_KEPT: usize = 8;
/// For how long a server that left unheard is not taken for alive again: a heartbeat from before may come
/// seconds late, and nothing tells it from one of a next life under the same id.
const LATE_HEARTBEAT: Duration = Duration::from_secs(10);
/// How long a life must be silent until another with an earlier birth counts as its successor: the
/// time of day may have been set back between the two.
const REPLACED: Duration = Duration::from_millis(2_500);

/// Follows the lives of the host's backend server, what it was granted, and what it still holds.
#[derive(Clone, Debug, Default)]
pub(in crate::ownership) struct ServerWatch {
    pub(super) current: Option<Current>,
    left: Vec<ServerLife>,
    /// Servers that left before this process had heard them, and when.
    left_unheard: Vec<(ServerId, Moment)>,
    pub(super) called: CalledGrants,
}

#[derive(Clone, Debug)]
pub(super) struct Current {
    pub(super) newest: ServerHeartbeat,
    heard: u32,
    pub(super) at: Moment,
    cold_until: Moment,
    offers: Vec<Offer>,
    /// What it listed before we ever granted anything, and until when a grant of our own earlier
    /// life may be the reason.
    inherited_until: Moment,
    freed: Vec<(Moment, FreedRange)>,
}

/// Is a range that an answer of ours granted.
#[derive(Clone, Copy, Debug)]
struct Offer {
    held: HeldRange,
    /// The heartbeat whose answer offered it first.
    first: u64,
    until: Moment,
    /// Whether the newest renewal granted it too; if not, the server is to release it.
    wanted: bool,
}

impl ServerWatch {
    /// Takes a heartbeat and says what to answer.
    pub(in crate::ownership) fn hear(
        &mut self,
        now: Moment,
        heartbeat: ServerHeartbeat,
        granting: Granting,
        lease: Option<&Lease>,
        times: &LeaseTimes,
    ) -> HeartbeatAnswer {
        let left =
            self.left.contains(&heartbeat.life) || self.left_unheard(now, &heartbeat.life.id);
        if left || self.is_stale(now, &heartbeat) {
            return HeartbeatAnswer::Heard;
        }
        match granting {
            Granting::ByHeartbeat => {
                self.note(now, heartbeat, times);
                self.renew(now, lease)
            }
            Granting::ByCall => {
                // The answers to calls say what it holds and has released.
                let silent = ServerHeartbeat {
                    holds: Vec::new(),
                    freed: Vec::new(),
                    ..heartbeat
                };
                self.note(now, silent, times);
                HeartbeatAnswer::Heard
            }
        }
    }

    /// Forgets the server: it leaves, and a heartbeat of this life that still comes changes nothing.
    pub(in crate::ownership) fn leaves(&mut self, now: Moment, id: &ServerId) {
        match self.life().filter(|life| life.id == *id).cloned() {
            Some(life) => push_bounded(&mut self.left, life),
            None => push_bounded(&mut self.left_unheard, (id.clone(), now)),
        }
    }

    fn left_unheard(&self, now: Moment, id: &ServerId) -> bool {
        let mut unheard = self.left_unheard.iter();
        unheard.any(|(left, at)| left == id && now.since(*at) < LATE_HEARTBEAT)
    }

    /// Returns the life that was heard last.
    pub(in crate::ownership) fn life(&self) -> Option<&ServerLife> {
        self.current.as_ref().map(|current| &current.newest.life)
    }

    /// Tells whether that life has left.
    pub(in crate::ownership) fn has_left(&self) -> bool {
        self.life().is_some_and(|life| self.left.contains(life))
    }

    /// Returns the newest heartbeat.
    pub(in crate::ownership) fn newest(&self) -> Option<&ServerHeartbeat> {
        self.current.as_ref().map(|current| &current.newest)
    }

    /// Returns until when the server said that it is cold.
    pub(in crate::ownership) fn cold_until(&self) -> Moment {
        self.current
            .as_ref()
            .map_or(Moment::default(), |current| current.cold_until)
    }

    /// Returns when the server was heard last.
    pub(in crate::ownership) fn heard_at(&self) -> Option<Moment> {
        self.current.as_ref().map(|current| current.at)
    }

    /// Tells whether the server has been heard often enough to be granted keys.
    pub(in crate::ownership) fn is_settled(&self, granting: Granting) -> bool {
        let beats = match granting {
            Granting::ByHeartbeat => SETTLED_BEATS,
            // What it holds does not follow from its heartbeats.
            Granting::ByCall => 1,
        };
        self.current
            .as_ref()
            .is_some_and(|current| current.heard >= beats)
    }

    /// Returns everything that the server may hold now.
    pub(in crate::ownership) fn holding(&self, now: Moment) -> Vec<HeldRange> {
        let Some(current) = &self.current else {
            return Vec::new();
        };
        let mut holding: Vec<HeldRange> =
            current.live_offers(now).map(|offer| offer.held).collect();
        if now < current.inherited_until {
            holding.extend(&current.newest.holds);
        }
        holding.extend(self.called.holding(now, &current.newest.life));
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
        let wanted = current.live_offers(now).filter(|offer| offer.wanted);
        let mut serving: Vec<(HeldRange, Moment)> =
            wanted.map(|offer| (offer.held, offer.until)).collect();
        let life = &current.newest.life;
        if let Some(lease) = lease.filter(|lease| lease.assignment.server == *life) {
            let ranges = &lease.assignment.ranges;
            serving.extend(self.called.serving(now, life, ranges));
        }
        serving
    }

    /// Returns what the server has released lately.
    pub(in crate::ownership) fn freed(&self, now: Moment) -> Vec<FreedRange> {
        let Some(current) = &self.current else {
            return Vec::new();
        };
        let recent = current
            .freed
            .iter()
            .filter(|(at, _)| now.since(*at) < FREED_KEPT);
        recent.map(|(_, freed)| freed.clone()).collect()
    }

    fn is_stale(&self, now: Moment, heartbeat: &ServerHeartbeat) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let newest = &current.newest;
        if newest.life == heartbeat.life {
            return heartbeat.sequence <= newest.sequence;
        }
        heartbeat.life.born < newest.life.born && now.since(current.at) < REPLACED
    }

    fn note(&mut self, now: Moment, heartbeat: ServerHeartbeat, times: &LeaseTimes) {
        let current = match &mut self.current {
            Some(current) if current.newest.life == heartbeat.life => current,
            // Another life holds nothing of what the one before it was granted.
            slot => slot.insert(Current {
                newest: heartbeat.clone(),
                heard: 0,
                at: now,
                cold_until: now,
                offers: Vec::new(),
                inherited_until: now + LeaseTimes::plus_clock_drift(times.lease),
                freed: Vec::new(),
            }),
        };
        current.heard += 1;
        current.at = now;
        current.cold_until = now + heartbeat.cold;
        current.forget_freed(now);
        // A release is repeated until a heartbeat is acknowledged; what was told before may concern
        // a grant of the range before this one.
        let known = |freed: &&FreedRange| !current.freed.iter().any(|(_, known)| known == *freed);
        let fresh: Vec<FreedRange> = heartbeat.freed.iter().filter(known).cloned().collect();
        current
            .freed
            .extend(fresh.iter().map(|freed| (now, freed.clone())));
        // Only the server's own report that it has released a range ends an offer early. That a heartbeat
        // does not list the range says nothing: it may have been sent before the answer came.
        let news: Vec<KeyRange> = fresh.iter().map(|freed| freed.keys).collect();
        current.offers = std::mem::take(&mut current.offers)
            .into_iter()
            .flat_map(|offer| offer.without(&heartbeat, &news))
            .collect();
        current.newest = heartbeat;
    }

    fn renew(&mut self, now: Moment, lease: Option<&Lease>) -> HeartbeatAnswer {
        let Some(current) = &mut self.current else {
            return HeartbeatAnswer::Heard;
        };
        let valid = lease.filter(|lease| lease.assignment.server == current.newest.life);
        let Some(lease) = valid.filter(|lease| lease.until.since(now) >= SHORTEST) else {
            return HeartbeatAnswer::Heard;
        };
        let time = LeaseTimes::minus_clock_drift(lease.until.since(now));
        let sequence = current.newest.sequence;
        for offer in &mut current.offers {
            offer.wanted = false;
        }
        for range in &lease.assignment.ranges {
            let earlier = current.offers.iter().find(|offer| offer.held == range.held);
            let first = earlier.map_or(sequence, |earlier| earlier.first);
            current.offers.retain(|offer| offer.held != range.held);
            current.offers.push(Offer {
                held: range.held,
                first,
                until: lease.until,
                wanted: true,
            });
        }
        HeartbeatAnswer::Renewed(Renewal {
            ranges: lease.assignment.ranges.clone(),
            time,
        })
    }
}

impl Offer {
    /// Returns what is left of the offer after releases that a later heartbeat tells.
    fn without(self, heartbeat: &ServerHeartbeat, freed: &[KeyRange]) -> Vec<Self> {
        if self.first >= heartbeat.sequence {
            return vec![self];
        }
        let mut parts = vec![self.held.keys];
        for keys in freed {
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

impl Current {
    /// Notes a range that the server has released.
    pub(super) fn free(&mut self, now: Moment, freed: FreedRange) {
        self.forget_freed(now);
        self.freed.push((now, freed));
    }

    fn forget_freed(&mut self, now: Moment) {
        self.freed.retain(|(at, _)| now.since(*at) < FREED_KEPT);
    }

    fn live_offers(&self, now: Moment) -> impl Iterator<Item = &Offer> {
        self.offers.iter().filter(move |offer| now < offer.until)
    }
}

fn push_bounded<T>(kept: &mut Vec<T>, item: T) {
    if kept.len() == LEFT_KEPT {
        kept.remove(0);
    }
    kept.push(item);
}
