//! The usual latency of each route.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::RouteName;

/// How many times the usual latency an answer takes that is far slower than usual.
pub(super) const FAR_SLOWER: f64 = 3.0;
/// How much one answer moves the usual latency.
const WEIGHT: f64 = 0.02;
/// How much an answer that is far slower than usual moves it.
const FAR_WEIGHT: f64 = 0.002;

/// Follows the usual latency by route: with one for all, a slow route in the mix would look like a
/// slow backend server.
#[derive(Clone, Debug, Default)]
pub(super) struct BaselineLatency {
    seconds: BTreeMap<RouteName, f64>,
}

impl BaselineLatency {
    /// Compares a latency with the usual one of its route; one while nothing is known.
    pub(super) fn ratio(&self, route: &RouteName, latency: Duration) -> f64 {
        let usual = self.seconds.get(route).copied();
        let known = usual.filter(|usual| *usual > 0.0);
        known.map_or(1.0, |usual| latency.as_secs_f64() / usual)
    }

    /// Learns from an answer.
    pub(super) fn learn(&mut self, route: &RouteName, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let Some(usual) = self.seconds.get_mut(route) else {
            self.seconds.insert(route.clone(), seconds);
            return;
        };
        let weight = match seconds >= *usual * FAR_SLOWER {
            true => FAR_WEIGHT,
            false => WEIGHT,
        };
        *usual += (seconds - *usual) * weight;
    }
}
