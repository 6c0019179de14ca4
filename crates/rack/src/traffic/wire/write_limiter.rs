//! Delays requests that already have a connection.

use std::time::Duration;

/// Limits when a request may be written on its connection.
pub(crate) trait WriteLimiter {
    /// Allows one request to be written, or returns when to ask again.
    fn try_write(&self) -> Option<Duration>;
}

/// Delays nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unlimited;

impl WriteLimiter for Unlimited {
    fn try_write(&self) -> Option<Duration> {
        None
    }
}
