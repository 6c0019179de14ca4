//! The limit of concurrent requests to the backend server.

use std::time::Duration;

use super::AdmittedRequest;
use super::AttemptOutcome;
use super::ServerProfile;
use super::baseline_latency::BaselineLatency;
use super::recent_outcomes::RecentOutcomes;
use crate::cluster::ServerState;
use crate::ids::SlotCount;
use crate::time::Moment;

/// Factor by which the limit falls when the backend server rejects a request.
const DECREASE_FACTOR: f64 = 0.7;
/// The shortest time between two decreases, so that one burst of rejections counts once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// How many responses decide a test.
const TEST_RESPONSES: u32 = 2;
/// The highest ratio to the baseline latency at which a response in a test counts as fast.
const TEST_FAST_RATIO: f64 = 2.0;
/// The longest test; a backend server with so few requests needs no lower limit.
const TEST_TIMEOUT: Duration = Duration::from_millis(500);
/// The time from one test to the next.
const TEST_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the limit of concurrent requests between the cold slots of the backend server and all its
/// slots.
///
/// The limit falls by a factor when the backend server rejects requests and rises only on
/// responses. Latency alone does not lower it for long: a straggler is slow because of other load
/// on its host, and a lower limit would not make it faster, only shed requests for the keys it
/// owns. But a backend server that turned cold without announcing it is slow as well. A short test
/// with no more requests than its cold slots tells the two apart: a cold server becomes fast, and a
/// straggler stays slow.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    min_limit: f64,
    max_limit: f64,
    limit: f64,
    warm_up: Duration,
    announced: ServerState,
    phase: Phase,
    last_decrease: Moment,
    last_test: Option<Moment>,
    outcomes: RecentOutcomes,
    baseline: BaselineLatency,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Cold: the limit stays at its minimum until the warm-up time has passed since the first
    /// response, because a backend server warms up only under load.
    Cold { first_response: Option<Moment> },
    /// Warmed up: the limit grows by one on each response, until a request is rejected.
    Growing,
    /// Warm: the limit grows by one per `limit` responses.
    Steady,
    /// Slow for an unknown reason: the limit stays at its minimum until responses show the reason.
    Testing {
        since: Moment,
        previous_limit: f64,
        fast: u32,
        slow: u32,
    },
}

impl ConcurrencyLimiter {
    /// Creates a limiter at the minimum limit: at first nothing proves that the backend server is
    /// warm.
    pub fn new(profile: &ServerProfile) -> Self {
        let min_limit = f64::from(profile.cold_slots.0);
        Self {
            min_limit,
            max_limit: f64::from(profile.slots.0),
            limit: min_limit,
            warm_up: profile.warm_up,
            announced: profile.state,
            phase: Self::initial_phase(profile.state),
            last_decrease: Moment::default(),
            last_test: None,
            outcomes: RecentOutcomes::default(),
            baseline: BaselineLatency::default(),
        }
    }

    /// Applies a new announcement of the same incarnation of the backend server.
    pub fn announce(&mut self, profile: &ServerProfile) {
        let turned_cold = profile.state == ServerState::Cold && self.announced != ServerState::Cold;
        self.announced = profile.state;
        self.min_limit = f64::from(profile.cold_slots.0);
        self.max_limit = f64::from(profile.slots.0);
        self.limit = self.limit.clamp(self.min_limit, self.max_limit);
        self.warm_up = profile.warm_up;
        if turned_cold {
            self.enter_cold();
        }
    }

    /// Records the outcome of a request; `in_flight` counts the requests in flight, itself
    /// included.
    pub fn record(
        &mut self,
        now: Moment,
        outcome: AttemptOutcome,
        admitted: &AdmittedRequest,
        in_flight: u32,
    ) {
        let ratio = match outcome {
            AttemptOutcome::Answered(latency) => self.baseline.ratio(&admitted.route, latency),
            _ => 0.0,
        };
        self.outcomes.record(now, outcome, ratio);
        match outcome {
            AttemptOutcome::Answered(_) if matches!(self.phase, Phase::Testing { .. }) => {
                self.update_test(now, ratio, admitted);
            }
            AttemptOutcome::Answered(latency) => {
                self.record_response(now, latency, admitted, in_flight)
            }
            AttemptOutcome::Shed | AttemptOutcome::Lost | AttemptOutcome::Failed => {
                self.decrease(now, outcome)
            }
            // A backend server that accepts no connections is restarting, and will be cold.
            AttemptOutcome::Unreachable => self.enter_cold(),
            AttemptOutcome::Abandoned => {
                // Its latency would have been at least the time until it was abandoned.
                let ratio = self
                    .baseline
                    .ratio(&admitted.route, now.since(admitted.admitted_at));
                if ratio > TEST_FAST_RATIO {
                    self.update_test(now, ratio, admitted);
                }
            }
        }
    }

    /// Resets the limit to its minimum and lets it grow on responses: a backend server without
    /// requests for a while may have turned cold, whatever it announces.
    pub fn reset_limit(&mut self) {
        self.limit = self.min_limit;
        if !matches!(self.phase, Phase::Cold { .. }) {
            self.phase = Phase::Growing;
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> SlotCount {
        SlotCount(self.limit as u32)
    }

    /// Returns the backend server's state as inferred from its responses. What it announces can
    /// only make that worse.
    pub fn state(&self) -> ServerState {
        match self.phase {
            _ if self.announced == ServerState::Draining => ServerState::Draining,
            Phase::Cold { .. } => ServerState::Cold,
            Phase::Growing | Phase::Steady | Phase::Testing { .. } => ServerState::Warm,
        }
    }

    fn initial_phase(state: ServerState) -> Phase {
        match state {
            ServerState::Cold => Phase::Cold {
                first_response: None,
            },
            // The announcement may be false or outdated: the limit starts at its minimum all the
            // same, and grows with the responses.
            ServerState::Warm | ServerState::Draining => Phase::Growing,
        }
    }

    fn enter_cold(&mut self) {
        self.phase = Phase::Cold {
            first_response: None,
        };
        self.limit = self.min_limit;
        self.outcomes.clear();
    }

    fn record_response(
        &mut self,
        now: Moment,
        latency: Duration,
        admitted: &AdmittedRequest,
        in_flight: u32,
    ) {
        self.baseline.record(&admitted.route, latency);
        if self.should_test(now) {
            self.phase = Phase::Testing {
                since: now,
                previous_limit: self.limit,
                fast: 0,
                slow: 0,
            };
            self.limit = self.min_limit;
            return;
        }
        self.increase(now, in_flight);
    }

    fn update_test(&mut self, now: Moment, ratio: f64, admitted: &AdmittedRequest) {
        let Phase::Testing {
            since,
            previous_limit,
            fast,
            slow,
        } = &mut self.phase
        else {
            return;
        };
        let timed_out = now.since(*since) > TEST_TIMEOUT;
        if admitted.admitted_at >= *since
            && f64::from(admitted.in_flight) <= self.min_limit
            && !timed_out
        {
            match ratio <= TEST_FAST_RATIO {
                true => *fast += 1,
                false => *slow += 1,
            }
        }
        if *fast >= TEST_RESPONSES {
            self.enter_cold();
        } else if *slow >= TEST_RESPONSES || timed_out {
            self.limit = previous_limit.clamp(self.min_limit, self.max_limit);
            self.phase = Phase::Steady;
            self.last_test = Some(now);
        }
    }

    fn should_test(&self, now: Moment) -> bool {
        let due = self
            .last_test
            .is_none_or(|tested| now.since(tested) >= TEST_INTERVAL);
        let can_test = matches!(self.phase, Phase::Growing | Phase::Steady);
        can_test && due && self.limit > self.min_limit && self.outcomes.are_mostly_slow()
    }

    fn increase(&mut self, now: Moment, in_flight: u32) {
        if let Phase::Cold { first_response } = &mut self.phase {
            let first_response = *first_response.get_or_insert(now);
            if self.announced == ServerState::Cold || now.since(first_response) < self.warm_up {
                return;
            }
            self.phase = Phase::Growing;
        }
        // A limit that is not reached says nothing about a higher one.
        if f64::from(in_flight) * 2.0 < self.limit {
            return;
        }
        let step = match self.phase {
            Phase::Steady => 1.0 / self.limit,
            _ => 1.0,
        };
        self.limit = (self.limit + step).min(self.max_limit);
        if self.limit >= self.max_limit {
            self.phase = Phase::Steady;
        }
    }

    fn decrease(&mut self, now: Moment, outcome: AttemptOutcome) {
        // A backend server that turns cold without announcing it handles the minimum limit and
        // fails above it. Callers would see refusals and failures until it reports its state; the
        // node lowers the limit to the minimum after the first few.
        if self.outcomes.indicate_cold(now) && !matches!(self.phase, Phase::Cold { .. }) {
            self.enter_cold();
            return;
        }
        if outcome != AttemptOutcome::Shed || now.since(self.last_decrease) < DECREASE_INTERVAL {
            return;
        }
        self.last_decrease = now;
        self.limit = (self.limit * DECREASE_FACTOR).max(self.min_limit);
        if self.phase == Phase::Growing {
            self.phase = Phase::Steady;
        }
    }
}
