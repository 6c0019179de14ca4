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
const KEYS: usize = 64;
/// The most keys reported.
const REPORTED: usize = 32;

/// Counts requests by slice, and by key for the hottest keys.
#[derive(Debug, Default)]
pub(super) struct LoadCounter {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    since: Moment,
    slices: HashMap<SliceId, u64>,
    keys: HashMap<Place, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Place {
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
    pub(super) fn count(&self, slice: &SliceId, key: KeyHash) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state.slices.entry(slice.clone()).or_default() += 1;
        let place = Place {
            slice: slice.clone(),
            key,
        };
        // A new key inherits the count of the key it replaces, so that a key which becomes hot late
        // is not evicted again. Its count may be too high by the inherited count, never too low.
        let inherited = state.displace(&place);
        *state.keys.entry(place).or_insert(inherited) += 1;
    }

    /// Returns the rates since the last call and resets the counts.
    pub(super) fn take(&self, now: Moment) -> PeriodLoad {
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
            .map(|(place, count)| KeyLoad {
                service: place.slice.service,
                key: place.key,
                rate: rate(count),
            })
            .collect();
        keys.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        keys.truncate(REPORTED);
        PeriodLoad {
            slices: slices.collect(),
            keys,
        }
    }
}

impl State {
    fn displace(&mut self, place: &Place) -> u64 {
        if self.keys.len() < KEYS || self.keys.contains_key(place) {
            return 0;
        }
        let least = self
            .keys
            .iter()
            .min_by_key(|(_, count)| **count)
            .map(|(place, _)| place.clone());
        least
            .and_then(|place| self.keys.remove(&place))
            .unwrap_or(0)
    }
}
