//! The cold start of a backend server.

use std::time::Duration;

/// Follows how cold a backend server is. It warms up as time passes, but not while it has more
/// work than it bears: that is why callers must hold back.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    left: Duration,
    seen_us: u64,
    overloaded: bool,
    /// Whether the present coldness came without a restart, hence unannounced.
    silent: bool,
}

impl ColdStart {
    /// Makes a server that needs `left` to warm up.
    pub fn new(left: Duration, silent: bool, now_us: u64) -> Self {
        Self {
            left,
            seen_us: now_us,
            overloaded: false,
            silent,
        }
    }

    /// Lets time pass and takes note of whether the server is overloaded from now on.
    pub fn pass(&mut self, now_us: u64, overloaded: bool) {
        let elapsed = Duration::from_micros(now_us.saturating_sub(self.seen_us));
        if !self.overloaded {
            self.left = self.left.saturating_sub(elapsed);
        }
        self.seen_us = now_us;
        self.overloaded = overloaded;
    }

    /// Tells whether the server is cold.
    pub fn is_cold(&self) -> bool {
        !self.left.is_zero()
    }

    /// Tells whether it turned cold unannounced.
    pub fn is_silent(&self) -> bool {
        self.is_cold() && self.silent
    }
}
