//! A reading of a clock that also runs while the host is suspended.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

/// Is a reading of the host's boot-time clock, in nanoseconds since the host started.
///
/// That clock also runs while the host is suspended, so the leases of a holder that was paused are
/// lapsed; see `docs/design/ownership.md`. Readings of two hosts are never compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `span` before this one, or the clock's origin if that is later.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(nanoseconds(span)))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(nanoseconds(span)))
    }
}

impl Sub for Moment {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s", self.0 as f64 / 1e9)
    }
}

fn nanoseconds(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}
