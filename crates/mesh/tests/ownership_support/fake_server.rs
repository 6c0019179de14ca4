//! A backend server that holds ranges like the platform's servers.

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::Handover;
use quetzalrack_mesh::model::HeldRange;
use quetzalrack_mesh::model::KeyRange;
use quetzalrack_mesh::model::ReleasedRange;
use quetzalrack_mesh::model::Renewal;
use quetzalrack_mesh::model::ServerHeartbeat;
use quetzalrack_mesh::model::ServerId;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::ownership::HeartbeatAnswer;

/// The factor by which the server's clock runs slower than the simulation's.
const CLOCK_DRIFT: f64 = 1.02;
/// How long after a heartbeat its answer is accepted.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A range that the server holds.
#[derive(Clone, Debug)]
pub struct Hold {
    pub held: HeldRange,
    /// When the hold ends, by the simulation's clock.
    pub until: Moment,
    /// When the server has finished the release that it was told to make.
    pub released_at: Option<Moment>,
}

/// One incarnation of a server.
#[derive(Clone, Debug)]
pub struct FakeServer {
    pub incarnation: ServerIncarnation,
    pub service: &'static str,
    pub holdings: Vec<Hold>,
    pub draining: bool,
    /// The ranges that it was granted by call; it refuses lower tokens for them.
    granted: Vec<HeldRange>,
    released: Vec<ReleasedRange>,
    sequence: u64,
    sent: Vec<(u64, Moment, usize)>,
}

impl FakeServer {
    pub fn new(name: &str, started_ms: u64, service: &'static str) -> Self {
        Self {
            incarnation: ServerIncarnation {
                id: ServerId(name.into()),
                started_ms,
            },
            service,
            holdings: Vec::new(),
            draining: false,
            granted: Vec::new(),
            released: Vec::new(),
            sequence: 0,
            sent: Vec::new(),
        }
    }

    /// Removes holds that have expired or were released.
    pub fn expire(&mut self, now: Moment) {
        let mut newly_released = Vec::new();
        self.holdings.retain(|holding| {
            let released = holding.released_at.is_some_and(|at| now >= at);
            if released {
                newly_released.push(ReleasedRange {
                    keys: holding.held.keys,
                    handover: Handover("word".into()),
                });
            }
            !released && now < holding.until
        });
        self.released.extend(newly_released);
    }

    pub fn heartbeat(&mut self, now: Moment) -> ServerHeartbeat {
        self.expire(now);
        self.sequence += 1;
        self.sent.push((self.sequence, now, self.released.len()));
        ServerHeartbeat {
            incarnation: self.incarnation.clone(),
            service: self.service.parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: 10,
            draining: self.draining,
            cold: Duration::ZERO,
            sequence: self.sequence,
            holds: self.holdings.iter().map(|holding| holding.held).collect(),
            released: self.released.clone(),
        }
    }

    /// Handles the answer to the heartbeat `sequence`. Tells whether a range is to be released, after
    /// which another heartbeat follows soon.
    pub fn handle_answer(
        &mut self,
        now: Moment,
        sequence: u64,
        answer: &HeartbeatAnswer,
        work: Duration,
    ) -> bool {
        self.expire(now);
        let Some((_, sent, reported)) = self
            .sent
            .iter()
            .find(|(number, ..)| *number == sequence)
            .copied()
        else {
            return false;
        };
        if now.since(sent) > ANSWER_TIMEOUT {
            return false;
        }
        self.released.drain(..reported.min(self.released.len()));
        self.sent.retain(|(later, ..)| *later > sequence);
        let HeartbeatAnswer::Renewed(renewal) = answer else {
            return false;
        };
        self.apply_renewal(now, sent, renewal, work);
        self.holdings
            .iter()
            .any(|holding| holding.released_at.is_some())
    }

    /// Handles a grant by call that arrived at `at`. Tells whether it was accepted.
    pub fn grant(&mut self, now: Moment, at: Moment, held: HeldRange, time: Duration) -> bool {
        self.expire(now);
        let above =
            |range: &HeldRange| range.fence > held.fence && range.keys.common(&held.keys).is_some();
        if self.granted.iter().any(above) {
            return false;
        }
        self.granted.retain(|range| *range != held);
        self.granted.push(held);
        let mut until = at + time.mul_f64(CLOCK_DRIFT);
        if until <= now {
            return true;
        }
        let before = std::mem::take(&mut self.holdings);
        for old in before {
            if old.held == held {
                until = until.max(old.until);
            }
            self.keep_outside(old, &held.keys);
        }
        self.holdings.push(Hold {
            held,
            until,
            released_at: None,
        });
        true
    }

    /// Releases the parts of a range that it holds, after `work`.
    pub fn release(&mut self, now: Moment, held: HeldRange, work: Duration) -> Option<Handover> {
        self.expire(now);
        let before = std::mem::take(&mut self.holdings);
        for old in before {
            let common = old.held.keys.common(&held.keys);
            if let Some(keys) = common.filter(|_| old.held.fence <= held.fence) {
                self.holdings.push(Hold {
                    held: HeldRange { keys, ..old.held },
                    until: old.until,
                    released_at: Some(old.released_at.unwrap_or(now + work)),
                });
                self.keep_outside(old, &held.keys);
            } else {
                self.holdings.push(old);
            }
        }
        Some(Handover("word".into()))
    }

    fn keep_outside(&mut self, old: Hold, keys: &KeyRange) {
        let parts = old.held.keys.without(keys).into_iter().flatten();
        self.holdings.extend(parts.map(|keys| Hold {
            held: HeldRange { keys, ..old.held },
            ..old.clone()
        }));
    }

    fn apply_renewal(&mut self, now: Moment, sent: Moment, renewal: &Renewal, work: Duration) {
        let until = sent + renewal.hold.mul_f64(CLOCK_DRIFT);
        let before = std::mem::take(&mut self.holdings);
        for range in &renewal.ranges {
            let newer = before.iter().any(|old| {
                old.held.keys.common(&range.held.keys).is_some()
                    && old.held.fence > range.held.fence
            });
            if !newer && now < until {
                self.holdings.push(Hold {
                    held: range.held,
                    until,
                    released_at: None,
                });
            }
        }
        // Ranges that the renewal does not list are released once their requests have ended.
        for old in before {
            for keys in not_renewed(old.held.keys, renewal) {
                self.holdings.push(Hold {
                    held: HeldRange { keys, ..old.held },
                    until: old.until,
                    released_at: Some(old.released_at.unwrap_or(now + work)),
                });
            }
        }
    }
}

fn not_renewed(keys: KeyRange, renewal: &Renewal) -> Vec<KeyRange> {
    let mut parts = vec![keys];
    for range in &renewal.ranges {
        parts = parts
            .iter()
            .flat_map(|part| part.without(&range.held.keys))
            .flatten()
            .collect();
    }
    parts
}
