//! The admission rate of each class of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::wait_queue::PriorityClass;

/// The time constant of the decay of the counts: in this time a count falls to about a third.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// The share of the server's capacity that is assumed for a class without recent admissions. Its
/// first requests wait, and their outcome shows the actual rate.
const MIN_CAPACITY_SHARE: f64 = 0.1;

/// Tracks the rate at which requests of each class are admitted.
///
/// While enough requests arrive that go first, a class is admitted rarely or never, and a longer
/// wait only delays its callers.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionRates {
    counts: BTreeMap<PriorityClass, f64>,
    decayed_at: Moment,
}

impl AdmissionRates {
    /// Forgets the admissions so far.
    pub(super) fn clear(&mut self) {
        self.counts.clear();
    }

    pub(super) fn record(&mut self, now: Moment, class: PriorityClass) {
        self.decay(now);
        *self.counts.entry(class).or_default() += 1.0;
    }

    /// Returns how many requests of a class can be admitted per second, if the server can start
    /// `capacity` per second. That includes the admissions of the classes behind it, and unused
    /// capacity.
    pub(super) fn rate(&mut self, now: Moment, class: PriorityClass, capacity: f64) -> f64 {
        self.decay(now);
        let behind: f64 = self.counts.range(class..).map(|(_, count)| count).sum();
        let before: f64 = self.counts.range(..class).map(|(_, count)| count).sum();
        let spare = capacity - before / DECAY_TIME.as_secs_f64();
        (behind / DECAY_TIME.as_secs_f64())
            .max(spare)
            .max(capacity * MIN_CAPACITY_SHARE)
            .max(f64::MIN_POSITIVE)
    }

    fn decay(&mut self, now: Moment) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = self.decayed_at.max(now);
        let factor = (-passed / DECAY_TIME.as_secs_f64()).exp();
        for count in self.counts.values_mut() {
            *count *= factor;
        }
    }
}
