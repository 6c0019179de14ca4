//! How large the answers of a route are.

use std::collections::BTreeMap;

use quetzalrack_core::ids::RouteName;

/// The weight of a new answer in the mean: sizes spread widely, and the mean is what the link has to
/// carry.
const WEIGHT: f64 = 0.05;
/// From this mean size on, in bytes, a route's answers are planned for at the link. Shorter ones take
/// less than 10 ms of a link of 10 Mbit/s.
const LARGE: f64 = 12_000.0;

/// Keeps the mean size of answers by route.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    routes: BTreeMap<RouteName, f64>,
}

impl ResponseSizes {
    /// Learns from an answer.
    pub fn learn(&mut self, route: &RouteName, bytes: usize) {
        let bytes = bytes as f64;
        match self.routes.get_mut(route) {
            Some(mean) => *mean += (bytes - *mean) * WEIGHT,
            None => drop(self.routes.insert(route.clone(), bytes)),
        }
    }

    /// Returns the mean size of a route's answers if they are large; else none.
    pub fn large(&self, route: &RouteName) -> Option<f64> {
        self.routes
            .get(route)
            .copied()
            .filter(|mean| *mean >= LARGE)
    }
}
