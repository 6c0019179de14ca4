//! Rates of requests.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A rate of requests, in requests per second, above zero.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate {
    per_second: f64,
}

/// The error for a string that is not a rate.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not a decimal number of requests per second above zero: {0:?}")]
pub struct ParseRequestRateError(String);

impl RequestRate {
    /// Creates a rate from requests per second; `None` unless it is finite and above zero.
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second > 0.0).then_some(Self { per_second })
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.per_second
    }

    /// Returns the time from one request to the next.
    pub fn interval(self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.per_second).unwrap_or(Duration::MAX)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second)
    }
}

impl FromStr for RequestRate {
    type Err = ParseRequestRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_decimal = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        let number = text.parse().ok().filter(|_| is_decimal);
        number
            .and_then(Self::from_per_second)
            .ok_or_else(|| ParseRequestRateError(text.to_owned()))
    }
}
