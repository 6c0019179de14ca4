//! Request rates by slice and key.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use quetzalrack_core::ids::KeyHash;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::KeyLoad;
use quetzalrack_core::traffic::SliceLoad;

/// The most keys counted at once; a new key replaces the one with the lowest count.
const MAX_COUNTED_KEYS: usize = 64;
/// The most keys reported.
const MAX_REPORTED_KEYS: usize = 32;

/// Counts requests by slice, and by key for the hottest keys.
#[derive(Debug, Default)]
pub(super) struct LoadCounter {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    since: Moment,
    slices: HashMap<SliceId, u64>,
    keys: HashMap<SliceKey, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SliceKey {
    slice: SliceId,
    key: KeyHash,
}

/// The request rates of one measuring period.
#[derive(Debug, Default)]
pub(super) struct PeriodLoad {
    pub(super) slices: Vec<SliceLoad>,
    pub(super) keys: Vec<KeyLoad>,
}

impl LoadCounter {
    /// Counts one request.
    pub(super) fn record(&self, slice: &SliceId, key: KeyHash) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state.slices.entry(slice.clone()).or_default() += 1;
        let slice_key = SliceKey {
            slice: slice.clone(),
            key,
        };
        // A new key inherits the count of the key it replaces, so that a key which becomes hot late
        // is not missed. Its count may be too high by the inherited count, never too low.
        let inherited = state.evict_lowest(&slice_key);
        *state.keys.entry(slice_key).or_insert(inherited) += 1;
    }

    /// Returns the rates since the last call and resets the counts.
    pub(super) fn take_rates(&self, now: Moment) -> PeriodLoad {
        let taken = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let fresh = State {
                since: now,
                ..State::default()
            };
            std::mem::replace(&mut *state, fresh)
        };
        let seconds = now.since(taken.since).as_secs_f32().max(f32::EPSILON);
        let rate = |count: u64| count as f32 / seconds;
        let slices = taken.slices.into_iter().map(|(slice, count)| SliceLoad {
            slice,
            rate: rate(count),
        });
        let mut keys: Vec<KeyLoad> = taken
            .keys
            .into_iter()
            .map(|(slice_key, count)| KeyLoad {
                service: slice_key.slice.service,
                key: slice_key.key,
                rate: rate(count),
            })
            .collect();
        keys.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        keys.truncate(MAX_REPORTED_KEYS);
        PeriodLoad {
            slices: slices.collect(),
            keys,
        }
    }
}

impl State {
    fn evict_lowest(&mut self, slice_key: &SliceKey) -> u64 {
        if self.keys.len() < MAX_COUNTED_KEYS || self.keys.contains_key(slice_key) {
            return 0;
        }
        let lowest = self
            .keys
            .iter()
            .min_by_key(|(_, count)| **count)
            .map(|(slice_key, _)| slice_key.clone());
        lowest
            .and_then(|slice_key| self.keys.remove(&slice_key))
            .unwrap_or(0)
    }
}
