//! The token bucket of the link.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::USABLE_SHARE;
use crate::model::LinkRate;

/// How much unused link time may be used later. Longer would fill the link's queue for longer than a
/// short response should wait; shorter would leave the link idle between two expiries of the timer.
const MAX_BURST: Duration = Duration::from_millis(12);

/// Tracks the unused bandwidth of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    rate: LinkRate,
    /// Bytes that may be written; negative after short messages that did not wait.
    credit: f64,
    refilled_at: Moment,
}

impl LinkBudget {
    /// Creates a budget for a link.
    pub fn new(rate: LinkRate) -> Self {
        Self {
            rate,
            credit: 0.0,
            refilled_at: Moment::default(),
        }
    }

    /// Returns how long a long message must wait for its next bytes; none if they may go now.
    pub fn wait(&mut self, now: Moment) -> Option<Duration> {
        self.refill(now);
        (self.credit <= 0.0).then(|| self.usable_time(1.0 - self.credit))
    }

    /// Counts bytes that were written.
    pub fn record_written(&mut self, now: Moment, bytes: usize) {
        self.refill(now);
        self.credit -= bytes as f64;
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let max_credit = self.usable_rate() * MAX_BURST.as_secs_f64();
        self.credit = (self.credit + passed * self.usable_rate()).min(max_credit);
    }

    fn usable_time(&self, bytes: f64) -> Duration {
        Duration::from_secs_f64(bytes / self.usable_rate())
    }

    fn usable_rate(&self) -> f64 {
        self.rate.bytes_per_second() * USABLE_SHARE
    }
}
