//! Burn over a pair of windows.

use serde::Serialize;

/// Is how many times faster than allowed the budget was spent, over a long and a short window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct WindowBurn {
    /// Over the long window.
    pub long: f64,
    /// Over the short window.
    pub short: f64,
    /// Whether both are above the pair's rate.
    pub alert: bool,
}
