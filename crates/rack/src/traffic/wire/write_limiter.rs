//! Holding requests back that have a connection.

use std::time::Duration;

/// Says when a request may be written on its open connection.
pub(crate) trait WriteLimiter {
    /// Lets one request pass, or returns when to ask again.
    fn try_write(&self) -> Option<Duration>;
}

/// Holds nothing back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unlimited;

impl WriteLimiter for Unlimited {
    fn try_write(&self) -> Option<Duration> {
        None
    }
}
