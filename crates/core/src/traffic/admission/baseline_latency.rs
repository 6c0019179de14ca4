//! The baseline latency of each route.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::RouteName;

/// The ratio to the baseline latency from which a response counts as far slower.
pub(super) const SLOW_RATIO: f64 = 3.0;
/// The weight of a new response in the baseline.
const WEIGHT: f64 = 0.02;
/// The weight of a response that is far slower than the baseline.
const SLOW_WEIGHT: f64 = 0.002;

/// Tracks the baseline latency by route. With one baseline for all, a slow route would look like a
/// slow backend server.
#[derive(Clone, Debug, Default)]
pub(super) struct BaselineLatency {
    seconds: BTreeMap<RouteName, f64>,
}

impl BaselineLatency {
    /// Returns the ratio of a latency to its route's baseline, or one while none is known.
    pub(super) fn ratio(&self, route: &RouteName, latency: Duration) -> f64 {
        let baseline = self.seconds.get(route).copied();
        let known = baseline.filter(|baseline| *baseline > 0.0);
        known.map_or(1.0, |baseline| latency.as_secs_f64() / baseline)
    }

    /// Records the latency of a response.
    pub(super) fn record(&mut self, route: &RouteName, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let Some(baseline) = self.seconds.get_mut(route) else {
            self.seconds.insert(route.clone(), seconds);
            return;
        };
        let weight = match seconds >= *baseline * SLOW_RATIO {
            true => SLOW_WEIGHT,
            false => WEIGHT,
        };
        *baseline += (seconds - *baseline) * weight;
    }
}
