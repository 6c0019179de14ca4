//! A reading of the calendar clock.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Is the calendar time in milliseconds since 1970, for ages shown to people and for the time inside
/// an idempotency key, never for leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
