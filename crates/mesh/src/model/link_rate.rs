//! Bandwidth of network links.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// One million bits, in bytes.
const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// The suffix of a bandwidth in text.
const UNIT: &str = "Mbit/s";

/// The bandwidth of a host's own link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkRate {
    megabits: f64,
}

/// The error for a string that is not a bandwidth.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not a bandwidth above zero in Mbit/s: {0:?}")]
pub struct ParseLinkRateError(String);

impl LinkRate {
    /// Creates a bandwidth from megabits per second; `None` unless it is finite and above zero.
    pub fn from_megabits(megabits: f64) -> Option<Self> {
        (megabits.is_finite() && megabits > 0.0).then_some(Self { megabits })
    }

    /// Tells whether the link is too narrow for the leader of a hundred nodes. After a takeover the leader
    /// sends half a megabyte of tables in all, which must not take a large part of a lease.
    pub fn is_narrow(self) -> bool {
        self.megabits < 50.0
    }

    /// Returns the bandwidth in bytes per second.
    pub fn bytes_per_second(self) -> f64 {
        self.megabits * BYTES_PER_MEGABIT
    }

    /// Returns how long the link takes to transmit a number of bytes.
    pub fn time_for(self, bytes: f64) -> Duration {
        Duration::from_secs_f64(bytes.max(0.0) / self.bytes_per_second())
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{UNIT}", self.megabits)
    }
}

impl FromStr for LinkRate {
    type Err = ParseLinkRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix(UNIT).and_then(|text| text.parse().ok());
        number
            .and_then(Self::from_megabits)
            .ok_or_else(|| ParseLinkRateError(text.to_owned()))
    }
}
