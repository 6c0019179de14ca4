//! Burn at one moment, for plots.

use serde::Serialize;

/// Is the burn rate of one step of time.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct BurnPoint {
    /// Seconds since the first reading.
    pub second: f64,
    /// How many times faster than allowed the budget was spent.
    pub rate: f64,
}
