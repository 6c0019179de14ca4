//! The load of each key.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::model::KeyRange;
use crate::ownership::KeyLoad;

/// The time in which a key's count halves: a hot key shows within a second and is forgotten within
/// a few.
const HALF_LIFE_SECONDS: f64 = 1.0;
/// The number of parts of equal load into which a server's keys are divided for the leader. More
/// would make heartbeats longer, fewer would make moves coarser.
const LOAD_PARTS: usize = 24;
/// Counts below this are dropped: a fiftieth of a request of 100 ms.
const MIN_COUNT_SECONDS: f64 = 0.002;

/// Counts the service time of requests by key, in seconds, with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct KeyCounter {
    counts: BTreeMap<u16, f64>,
    decayed_at: Moment,
}

impl KeyCounter {
    /// Counts a request that occupies a slot of the server for `service_time`.
    pub fn count(&mut self, key: u16, service_time: Duration) {
        *self.counts.entry(key).or_default() += service_time.as_secs_f64();
    }

    /// Returns the load of the key ranges that a server holds, in parts of about equal load.
    pub fn loads(&mut self, now: Moment, held: &[KeyRange]) -> Vec<KeyLoad> {
        self.decay(now);
        let total: f64 = self.counts.values().sum();
        let part = (total / LOAD_PARTS as f64).max(f64::MIN_POSITIVE);
        let mut loads = Vec::new();
        for range in held {
            self.divide(*range, part, &mut loads);
        }
        loads
    }

    fn divide(&self, range: KeyRange, part: f64, loads: &mut Vec<KeyLoad>) {
        let mut first = range.first;
        let mut sum = 0.0;
        for (key, count) in self.counts.range(range.first..=range.last) {
            // A hot key starts a part of its own, so that it can move without adjacent keys.
            if sum > 0.0 && sum + count > part && *key > first {
                loads.push(load(first, *key - 1, sum));
                first = *key;
                sum = 0.0;
            }
            sum += count;
            if sum >= part && *key < range.last {
                loads.push(load(first, *key, sum));
                first = *key + 1;
                sum = 0.0;
            }
        }
        loads.push(load(first, range.last, sum));
    }

    fn decay(&mut self, now: Moment) {
        let factor = 0.5_f64.powf(now.since(self.decayed_at).as_secs_f64() / HALF_LIFE_SECONDS);
        self.decayed_at = now;
        self.counts.retain(|_, count| {
            *count *= factor;
            *count >= MIN_COUNT_SECONDS
        });
    }
}

fn load(first: u16, last: u16, sum: f64) -> KeyLoad {
    // Counts that halve every second add up to 1.44 s worth of requests.
    let slots = sum * std::f64::consts::LN_2 / HALF_LIFE_SECONDS;
    KeyLoad::of(KeyRange { first, last }, slots)
}
