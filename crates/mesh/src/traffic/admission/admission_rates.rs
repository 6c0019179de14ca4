//! How often requests of each class get their turn.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::wait_queue::PriorityClass;

/// The span over which starts are counted, as the time in which a count falls to a third.
const MEMORY: Duration = Duration::from_secs(1);
/// The share of a server's usual rate that is assumed of a class which was not started lately: its
/// first requests wait, and what becomes of them tells the rest.
const LEAST: f64 = 0.1;

/// Follows the rate at which requests of each class are started.
///
/// While enough others come that go first, a class is started rarely or never, and waiting longer
/// only holds its callers.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionRates {
    counts: BTreeMap<PriorityClass, f64>,
    at: Moment,
}

impl AdmissionRates {
    pub(super) fn count(&mut self, now: Moment, class: PriorityClass) {
        self.age(now);
        *self.counts.entry(class).or_default() += 1.0;
    }

    /// Returns how many of a class are started a second, if the server can start `usual`. What went to
    /// classes behind it would have gone to it, and so would what is not used.
    pub(super) fn rate(&mut self, now: Moment, class: PriorityClass, usual: f64) -> f64 {
        self.age(now);
        let behind: f64 = self.counts.range(class..).map(|(_, count)| count).sum();
        let before: f64 = self.counts.range(..class).map(|(_, count)| count).sum();
        let spare = usual - before / MEMORY.as_secs_f64();
        (behind / MEMORY.as_secs_f64())
            .max(spare)
            .max(usual * LEAST)
            .max(f64::MIN_POSITIVE)
    }

    fn age(&mut self, now: Moment) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let factor = (-passed / MEMORY.as_secs_f64()).exp();
        for count in self.counts.values_mut() {
            *count *= factor;
        }
    }
}
