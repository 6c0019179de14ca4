//! How many requests the backend server bears at once.

use std::time::Duration;

use super::AdmittedRequest;
use super::AttemptOutcome;
use super::ServerProfile;
use super::baseline_latency::BaselineLatency;
use super::recent_outcomes::RecentOutcomes;
use crate::cluster::ServerState;
use crate::ids::SlotCount;
use crate::time::Moment;

/// The share of the limit that is kept when the backend server turns a request away.
const CUT: f64 = 0.7;
/// The shortest time between two cuts, so that one burst of refusals counts once.
const CUT_PAUSE: Duration = Duration::from_millis(50);
/// How many answers decide a test.
const TEST_ANSWERS: u32 = 2;
/// The most times the usual latency that an answer of a test may take to count as quick.
const TEST_LATENCY: f64 = 2.0;
/// The longest test; a backend server with so little work needs no lower limit.
const TEST_TIME: Duration = Duration::from_millis(500);
/// The time from one test to the next.
const TEST_PAUSE: Duration = Duration::from_secs(5);

/// Keeps the limit of concurrent requests between what a cold backend server bears and its slots.
///
/// The limit falls by a factor when the backend server turns work away and rises only on answers.
/// Latency alone does not lower it for long: a straggler is slow because of its neighbours on the
/// host, and fewer requests at once would not make it faster, only shed the keys it owns. But a
/// backend server that turned cold without a word is slow as well. The two are told apart by a
/// short test at the cold bound: there a cold one is quick again, and a straggler is not.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    floor: f64,
    ceiling: f64,
    limit: f64,
    warm_up: Duration,
    announced: ServerState,
    phase: Phase,
    cut: Moment,
    tested: Option<Moment>,
    ends: RecentOutcomes,
    usual: BaselineLatency,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Cold: the limit stays at the floor until the backend server has worked for its warm-up
    /// time, counted from its first answer, because it warms only under load.
    Holding { first: Option<Moment> },
    /// Warmed: the limit grows by one on each answer, until something is turned away.
    Growing,
    /// Warm: the limit grows by one on as many answers as it allows at once.
    Steady,
    /// Slow for an unknown reason: the limit is at the floor until some answers have told it.
    Testing {
        since: Moment,
        before: f64,
        quick: u32,
        slow: u32,
    },
}

impl ConcurrencyLimiter {
    /// Starts in cold start: a node that has just met its backend server knows of no warmth.
    pub fn new(profile: &ServerProfile) -> Self {
        let floor = f64::from(profile.cold_slots.0);
        Self {
            floor,
            ceiling: f64::from(profile.slots.0),
            limit: floor,
            warm_up: profile.warm_up,
            announced: profile.state,
            phase: Self::first_phase(profile.state),
            cut: Moment::default(),
            tested: None,
            ends: RecentOutcomes::default(),
            usual: BaselineLatency::default(),
        }
    }

    /// Takes over what the same life of the backend server announced anew.
    pub fn announce(&mut self, profile: &ServerProfile) {
        let turned_cold = profile.state == ServerState::Cold && self.announced != ServerState::Cold;
        self.announced = profile.state;
        self.floor = f64::from(profile.cold_slots.0);
        self.ceiling = f64::from(profile.slots.0);
        self.limit = self.limit.clamp(self.floor, self.ceiling);
        self.warm_up = profile.warm_up;
        if turned_cold {
            self.enter_cold();
        }
    }

    /// Learns from the end of a request; `busy` is how many were in flight with it.
    pub fn learn(&mut self, now: Moment, end: AttemptOutcome, begun: &AdmittedRequest, busy: u32) {
        let ratio = match end {
            AttemptOutcome::Answered(latency) => self.usual.ratio(&begun.route, latency),
            _ => 0.0,
        };
        self.ends.remember(now, end, ratio);
        match end {
            AttemptOutcome::Answered(_) if matches!(self.phase, Phase::Testing { .. }) => {
                self.judge_test(now, ratio, begun);
            }
            AttemptOutcome::Answered(latency) => self.learn_answer(now, latency, begun, busy),
            AttemptOutcome::Shed | AttemptOutcome::Lost | AttemptOutcome::Failed => {
                self.fall(now, end)
            }
            // A backend server that takes no connections is starting anew, and cold.
            AttemptOutcome::Unreachable => self.enter_cold(),
            AttemptOutcome::Abandoned => {
                // It was given up, so at least this much time had passed.
                let ratio = self.usual.ratio(&begun.route, now.since(begun.at));
                if ratio > TEST_LATENCY {
                    self.judge_test(now, ratio, begun);
                }
            }
        }
    }

    /// Starts again at the floor and grows on answers: a backend server that had no work for a
    /// while may have lost its warmth, whatever it says.
    pub fn start_slowly(&mut self) {
        self.limit = self.floor;
        if !matches!(self.phase, Phase::Holding { .. }) {
            self.phase = Phase::Growing;
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> SlotCount {
        SlotCount(self.limit as u32)
    }

    /// Returns the backend server's condition as judged from its answers; its own word can only
    /// make it worse.
    pub fn state(&self) -> ServerState {
        match self.phase {
            _ if self.announced == ServerState::Draining => ServerState::Draining,
            Phase::Holding { .. } => ServerState::Cold,
            Phase::Growing | Phase::Steady | Phase::Testing { .. } => ServerState::Warm,
        }
    }

    fn first_phase(state: ServerState) -> Phase {
        match state {
            ServerState::Cold => Phase::Holding { first: None },
            // It says that it is warm, which may be a lie or late: the limit starts at the floor
            // all the same, and grows as fast as it answers.
            ServerState::Warm | ServerState::Draining => Phase::Growing,
        }
    }

    fn enter_cold(&mut self) {
        self.phase = Phase::Holding { first: None };
        self.limit = self.floor;
        self.ends.clear();
    }

    fn learn_answer(&mut self, now: Moment, latency: Duration, begun: &AdmittedRequest, busy: u32) {
        self.usual.learn(&begun.route, latency);
        if self.looks_slow(now) {
            self.phase = Phase::Testing {
                since: now,
                before: self.limit,
                quick: 0,
                slow: 0,
            };
            self.limit = self.floor;
            return;
        }
        self.grow(now, busy);
    }

    fn judge_test(&mut self, now: Moment, ratio: f64, begun: &AdmittedRequest) {
        let Phase::Testing {
            since,
            before,
            quick,
            slow,
        } = &mut self.phase
        else {
            return;
        };
        let late = now.since(*since) > TEST_TIME;
        if begun.at >= *since && f64::from(begun.busy) <= self.floor && !late {
            match ratio <= TEST_LATENCY {
                true => *quick += 1,
                false => *slow += 1,
            }
        }
        if *quick >= TEST_ANSWERS {
            self.enter_cold();
        } else if *slow >= TEST_ANSWERS || late {
            self.limit = before.clamp(self.floor, self.ceiling);
            self.phase = Phase::Steady;
            self.tested = Some(now);
        }
    }

    fn looks_slow(&self, now: Moment) -> bool {
        let again = self
            .tested
            .is_none_or(|tested| now.since(tested) >= TEST_PAUSE);
        let open = matches!(self.phase, Phase::Growing | Phase::Steady);
        open && again && self.limit > self.floor && self.ends.look_slow()
    }

    fn grow(&mut self, now: Moment, busy: u32) {
        if let Phase::Holding { first } = &mut self.phase {
            let first = *first.get_or_insert(now);
            if self.announced == ServerState::Cold || now.since(first) < self.warm_up {
                return;
            }
            self.phase = Phase::Growing;
        }
        // An unused limit proves nothing about a higher one.
        if f64::from(busy) * 2.0 < self.limit {
            return;
        }
        let step = match self.phase {
            Phase::Steady => 1.0 / self.limit,
            _ => 1.0,
        };
        self.limit = (self.limit + step).min(self.ceiling);
        if self.limit >= self.ceiling {
            self.phase = Phase::Steady;
        }
    }

    fn fall(&mut self, now: Moment, end: AttemptOutcome) {
        // A backend server that turns cold without a word bears the floor and fails above it. The
        // callers would see refusals and failures until its report catches up; its neighbour sees
        // the first few and goes down to the floor at once.
        if self.ends.look_cold(now) && !matches!(self.phase, Phase::Holding { .. }) {
            self.enter_cold();
            return;
        }
        if end != AttemptOutcome::Shed || now.since(self.cut) < CUT_PAUSE {
            return;
        }
        self.cut = now;
        self.limit = (self.limit * CUT).max(self.floor);
        if self.phase == Phase::Growing {
            self.phase = Phase::Steady;
        }
    }
}
