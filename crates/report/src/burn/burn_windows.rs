//! The windows over which burn is judged.

use std::time::Duration;

/// Pairs a long window with a short one: the long one shows that enough budget was spent to
/// matter, the short one that it is still being spent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnWindows {
    /// The long window of the fast pair.
    pub fast_long: Duration,
    /// The short window of the fast pair.
    pub fast_short: Duration,
    /// The long window of the slow pair.
    pub slow_long: Duration,
    /// The short window of the slow pair.
    pub slow_short: Duration,
}

impl BurnWindows {
    /// At this rate the budget of 30 days lasts about two days.
    pub const FAST_RATE: f64 = 14.4;
    /// At this rate the budget of 30 days lasts five days.
    pub const SLOW_RATE: f64 = 6.0;
}

impl Default for BurnWindows {
    fn default() -> Self {
        const MINUTE: Duration = Duration::from_secs(60);
        Self {
            fast_long: 60 * MINUTE,
            fast_short: 5 * MINUTE,
            slow_long: 360 * MINUTE,
            slow_short: 30 * MINUTE,
        }
    }
}
