//! Slice weights and the rate of voluntary moves.

use std::collections::BTreeMap;

use super::SliceEntry;
use crate::ids::ServiceName;
use crate::ids::SliceId;
use crate::time::Moment;

/// Mean rate of a service's slices below which the load is ignored.
const MIN_MEAN_REQUESTS_PER_SECOND: f32 = 5.0;
/// Share of a slice's weight that comes from its load; the rest is its equal share of the keys.
const LOAD_WEIGHT_SHARE: f32 = 0.75;

/// Slice weights, and the time of the last voluntary move.
#[derive(Debug, Default)]
pub(super) struct Balance {
    weights: BTreeMap<SliceId, f32>,
    pub(super) last_move: Option<Moment>,
    /// When each uneven service became uneven.
    pub(super) uneven_since: BTreeMap<ServiceName, Moment>,
}

impl Balance {
    /// Returns a slice's weight; a slice with the mean load weighs 1.
    pub(super) fn weight(&self, slice: &SliceId) -> f32 {
        self.weights.get(slice).copied().unwrap_or(1.0)
    }

    /// Computes the weight of every slice from the smoothed rates.
    pub(super) fn update_weights(&mut self, slices: &BTreeMap<SliceId, SliceEntry>) {
        let mut sums: BTreeMap<&ServiceName, (f32, f32)> = BTreeMap::new();
        for (slice, entry) in slices {
            let sum = sums.entry(&slice.service).or_default();
            sum.0 += entry.rate;
            sum.1 += 1.0;
        }
        self.weights.clear();
        for (slice, entry) in slices {
            let Some((rates, count)) = sums.get(&slice.service) else {
                continue;
            };
            let mean = rates / count;
            if mean >= MIN_MEAN_REQUESTS_PER_SECOND {
                let weight = 1.0 - LOAD_WEIGHT_SHARE + LOAD_WEIGHT_SHARE * entry.rate / mean;
                self.weights.insert(slice.clone(), weight);
            }
        }
    }
}
