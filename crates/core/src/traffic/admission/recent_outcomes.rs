//! Recent outcomes of requests, which show an unannounced cold start.

use std::collections::VecDeque;
use std::time::Duration;

use super::AttemptOutcome;
use super::baseline_latency::SLOW_RATIO;
use crate::time::Moment;

/// How many of the latest outcomes are kept.
const MAX_SAMPLES: usize = 8;
/// How many of them must be far slower than their baseline for most to count as slow.
const MIN_SLOW: usize = 6;
/// How long an outcome counts as a sign of an unannounced cold start.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);
/// How many requests must have been rejected, lost or failed within that time.
const MIN_UNSERVED: usize = 3;

/// Keeps the outcomes of the latest requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentOutcomes {
    samples: VecDeque<OutcomeSample>,
}

#[derive(Clone, Copy, Debug)]
struct OutcomeSample {
    at: Moment,
    unserved: bool,
    rejected: bool,
    /// Latency as a multiple of the route's baseline.
    ratio: f64,
}

impl RecentOutcomes {
    /// Records an outcome; an abandoned request shows nothing and is left out.
    pub(super) fn record(&mut self, now: Moment, outcome: AttemptOutcome, ratio: f64) {
        if outcome == AttemptOutcome::Abandoned {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        let rejected = matches!(
            outcome,
            AttemptOutcome::Shed | AttemptOutcome::Lost | AttemptOutcome::Unreachable
        );
        self.samples.push_back(OutcomeSample {
            at: now,
            unserved: !matches!(outcome, AttemptOutcome::Answered(_)),
            rejected,
            ratio,
        });
    }

    pub(super) fn clear(&mut self) {
        self.samples.clear();
    }

    /// Returns whether most of the latest responses were far slower than their baseline.
    pub(super) fn are_mostly_slow(&self) -> bool {
        let slow = self
            .samples
            .iter()
            .filter(|sample| sample.ratio >= SLOW_RATIO);
        slow.count() >= MIN_SLOW
    }

    /// Returns whether requests are rejected or lost, or fail and are slow, as at a cold backend
    /// server.
    pub(super) fn indicate_cold(&self, now: Moment) -> bool {
        let recent: Vec<&OutcomeSample> = self
            .samples
            .iter()
            .filter(|sample| now.since(sample.at) <= MAX_SAMPLE_AGE)
            .collect();
        let unserved = recent.iter().filter(|sample| sample.unserved).count();
        let rejected = recent.iter().filter(|sample| sample.rejected).count();
        if unserved < MIN_UNSERVED || unserved * 2 < recent.len() {
            return false;
        }
        let slowest = recent.iter().map(|sample| sample.ratio).fold(0.0, f64::max);
        rejected * 2 >= unserved || slowest >= SLOW_RATIO
    }
}
