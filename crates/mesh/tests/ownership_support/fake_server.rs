//! A backend server that holds ranges as the platform's servers do.

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

/// How much slower the server's clock runs than ours.
const SLOW: f64 = 1.02;
/// How long an answer may take to count.
const ACCEPTED: Duration = Duration::from_secs(1);

/// Is a range that the server holds.
#[derive(Clone, Debug)]
pub struct Holding {
    pub held: HeldRange,
    /// When the hold ends, in true time.
    pub until: Moment,
    /// When the server has finished releasing it, once it was told to.
    pub released: Option<Moment>,
}

/// Is one life of a server.
#[derive(Clone, Debug)]
pub struct FakeServer {
    pub life: ServerIncarnation,
    pub service: &'static str,
    pub holdings: Vec<Holding>,
    pub draining: bool,
    /// What it was granted by call; it refuses lower tokens.
    seen: Vec<HeldRange>,
    freed: Vec<ReleasedRange>,
    sequence: u64,
    sent: Vec<(u64, Moment, usize)>,
}

impl FakeServer {
    pub fn new(name: &str, born: u64, service: &'static str) -> Self {
        Self {
            life: ServerIncarnation {
                id: ServerId(name.into()),
                started_ms: born,
            },
            service,
            holdings: Vec::new(),
            draining: false,
            seen: Vec::new(),
            freed: Vec::new(),
            sequence: 0,
            sent: Vec::new(),
        }
    }

    /// Ends what has run out or was released.
    pub fn age(&mut self, now: Moment) {
        let mut freed = Vec::new();
        self.holdings.retain(|holding| {
            let released = holding.released.is_some_and(|at| now >= at);
            if released {
                freed.push(ReleasedRange {
                    keys: holding.held.keys,
                    handover: Handover("word".into()),
                });
            }
            !released && now < holding.until
        });
        self.freed.extend(freed);
    }

    pub fn heartbeat(&mut self, now: Moment) -> ServerHeartbeat {
        self.age(now);
        self.sequence += 1;
        self.sent.push((self.sequence, now, self.freed.len()));
        ServerHeartbeat {
            incarnation: self.life.clone(),
            service: self.service.parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: 10,
            draining: self.draining,
            cold: Duration::ZERO,
            sequence: self.sequence,
            holds: self.holdings.iter().map(|holding| holding.held).collect(),
            released: self.freed.clone(),
        }
    }

    /// Takes the answer to the heartbeat `sequence`; tells whether something is to be released, so
    /// that another heartbeat follows soon.
    pub fn answer(
        &mut self,
        now: Moment,
        sequence: u64,
        answer: &HeartbeatAnswer,
        work: Duration,
    ) -> bool {
        self.age(now);
        let Some((_, sent, told)) = self
            .sent
            .iter()
            .find(|(sent, ..)| *sent == sequence)
            .copied()
        else {
            return false;
        };
        if now.since(sent) > ACCEPTED {
            return false;
        }
        self.freed.drain(..told.min(self.freed.len()));
        self.sent.retain(|(later, ..)| *later > sequence);
        let HeartbeatAnswer::Renewed(renewal) = answer else {
            return false;
        };
        self.take(now, sent, renewal, work);
        self.holdings
            .iter()
            .any(|holding| holding.released.is_some())
    }

    /// Takes a grant by call that arrived at `at`; tells whether it was accepted.
    pub fn grant(&mut self, now: Moment, at: Moment, held: HeldRange, time: Duration) -> bool {
        self.age(now);
        let above =
            |seen: &HeldRange| seen.fence > held.fence && seen.keys.common(&held.keys).is_some();
        if self.seen.iter().any(above) {
            return false;
        }
        self.seen.retain(|seen| *seen != held);
        self.seen.push(held);
        let mut until = at + time.mul_f64(SLOW);
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
        self.holdings.push(Holding {
            held,
            until,
            released: None,
        });
        true
    }

    /// Releases what it holds of a range once `work` has ended.
    pub fn release(&mut self, now: Moment, held: HeldRange, work: Duration) -> Option<Handover> {
        self.age(now);
        let before = std::mem::take(&mut self.holdings);
        for old in before {
            let common = old.held.keys.common(&held.keys);
            if let Some(keys) = common.filter(|_| old.held.fence <= held.fence) {
                self.holdings.push(Holding {
                    held: HeldRange { keys, ..old.held },
                    until: old.until,
                    released: Some(old.released.unwrap_or(now + work)),
                });
                self.keep_outside(old, &held.keys);
            } else {
                self.holdings.push(old);
            }
        }
        Some(Handover("word".into()))
    }

    fn keep_outside(&mut self, old: Holding, keys: &KeyRange) {
        let parts = old.held.keys.without(keys).into_iter().flatten();
        self.holdings.extend(parts.map(|keys| Holding {
            held: HeldRange { keys, ..old.held },
            ..old.clone()
        }));
    }

    fn take(&mut self, now: Moment, sent: Moment, renewal: &Renewal, work: Duration) {
        let until = sent + renewal.hold.mul_f64(SLOW);
        let before = std::mem::take(&mut self.holdings);
        for range in &renewal.ranges {
            let newer = before.iter().any(|old| {
                old.held.keys.common(&range.held.keys).is_some()
                    && old.held.fence > range.held.fence
            });
            if !newer && now < until {
                self.holdings.push(Holding {
                    held: range.held,
                    until,
                    released: None,
                });
            }
        }
        // What is left out is finished and released.
        for old in before {
            for keys in left_out(old.held.keys, renewal) {
                self.holdings.push(Holding {
                    held: HeldRange { keys, ..old.held },
                    until: old.until,
                    released: Some(old.released.unwrap_or(now + work)),
                });
            }
        }
    }
}

fn left_out(keys: KeyRange, renewal: &Renewal) -> Vec<KeyRange> {
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
