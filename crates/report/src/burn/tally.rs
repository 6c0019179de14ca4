//! Counts against a budget.

use quetzalrack_core::burn::RouteCounts;

/// Adds counts of routes with different objectives.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    /// The counts.
    pub counts: RouteCounts,
    /// How many faults the objectives allow among them.
    pub allowed: f64,
}

impl Tally {
    pub fn add(&mut self, counts: &RouteCounts, good_share: f64) {
        self.counts.merge(counts);
        self.allowed += counts.total() as f64 * (1.0 - good_share);
    }

    /// Returns how many times more was spent than allowed; with no budget any fault is too much.
    pub fn rate(&self) -> f64 {
        let spent = self.counts.faults() as f64;
        match (spent, self.allowed) {
            (0.0, _) => 0.0,
            (_, allowed) if allowed <= 0.0 => f64::MAX,
            (spent, allowed) => spent / allowed,
        }
    }
}
