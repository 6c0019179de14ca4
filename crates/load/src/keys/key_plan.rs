//! How popularity spreads over keys.

use std::time::Duration;

/// Describes keys and how their popularity moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyPlan {
    /// How many keys there are.
    pub count: u64,
    /// Zipf's exponent; greater makes the hottest keys hotter.
    pub exponent: f64,
    /// How many of the hottest keys move.
    pub hot: u64,
    /// How often they move; none leaves them where they are.
    pub move_every: Option<Duration>,
}

impl Default for KeyPlan {
    fn default() -> Self {
        Self {
            count: 100_000,
            exponent: 0.9,
            hot: 36,
            move_every: None,
        }
    }
}
