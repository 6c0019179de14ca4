//! Recent latencies.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Moment;

/// How many of the newest latencies are kept regardless of age, so that a backend server with few
/// requests is judged by its newest responses.
const MIN_KEPT: usize = 5;

/// Keeps recent latencies and computes their quantiles.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    latencies: VecDeque<(Moment, Duration)>,
    max_count: usize,
    max_age: Duration,
}

impl LatencyWindow {
    /// Creates an empty window that keeps at most `max_count` latencies, each for `max_age`.
    pub fn new(max_count: usize, max_age: Duration) -> Self {
        Self {
            latencies: VecDeque::new(),
            max_count,
            max_age,
        }
    }

    /// Adds a latency.
    pub fn record(&mut self, now: Moment, latency: Duration) {
        if self.latencies.len() >= self.max_count {
            self.latencies.pop_front();
        }
        self.latencies.push_back((now, latency));
        while self.latencies.len() > MIN_KEPT && self.oldest_age(now) > self.max_age {
            self.latencies.pop_front();
        }
    }

    /// Returns how many latencies are kept.
    pub fn len(&self) -> usize {
        self.latencies.len()
    }

    /// Returns whether no latency is known.
    pub fn is_empty(&self) -> bool {
        self.latencies.is_empty()
    }

    /// Returns the median, or zero while nothing is known.
    pub fn median(&self) -> Duration {
        self.quantile(0.5)
    }

    /// Returns the latency that `share` of the kept ones do not exceed.
    pub fn quantile(&self, share: f64) -> Duration {
        let mut sorted: Vec<Duration> = self.latencies.iter().map(|(_, each)| *each).collect();
        if sorted.is_empty() {
            return Duration::ZERO;
        }
        let index = ((sorted.len() - 1) as f64 * share.clamp(0.0, 1.0)).round() as usize;
        *sorted.select_nth_unstable(index).1
    }

    fn oldest_age(&self, now: Moment) -> Duration {
        let oldest = self.latencies.front();
        oldest.map_or(Duration::ZERO, |(at, _)| now.since(*at))
    }
}
