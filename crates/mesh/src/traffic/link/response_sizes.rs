//! The response sizes of each route.

use std::collections::BTreeMap;

use quetzalrack_core::ids::RouteName;

/// The weight of a new response in the mean: sizes vary widely, and the mean is what the link has to
/// carry.
const WEIGHT: f64 = 0.05;
/// The mean size from which a route's responses are scheduled on the link. Smaller ones take less
/// than 10 ms of a link of 10 Mbit/s.
const LARGE_BYTES: f64 = 12_000.0;

/// Keeps the mean size of responses by route.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    routes: BTreeMap<RouteName, f64>,
}

impl ResponseSizes {
    /// Records the size of a response.
    pub fn record(&mut self, route: &RouteName, bytes: usize) {
        let bytes = bytes as f64;
        match self.routes.get_mut(route) {
            Some(mean) => *mean += (bytes - *mean) * WEIGHT,
            None => drop(self.routes.insert(route.clone(), bytes)),
        }
    }

    /// Returns the mean size of a route's responses if it is large.
    pub fn large(&self, route: &RouteName) -> Option<f64> {
        self.routes
            .get(route)
            .copied()
            .filter(|mean| *mean >= LARGE_BYTES)
    }
}
