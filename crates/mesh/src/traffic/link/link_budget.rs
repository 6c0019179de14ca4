//! How many bytes may be written now.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::USED;
use crate::model::LinkRate;

/// How much unused time may be made up for. Longer would fill the link's queue for longer than a
/// short answer should wait; shorter would leave the link idle between two turns of the timer.
const BURST: Duration = Duration::from_millis(12);

/// Follows how much of the link's bandwidth has been used.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    rate: LinkRate,
    /// Bytes that may be written; below zero after short messages that did not wait.
    credit: f64,
    at: Moment,
}

impl LinkBudget {
    /// Makes a budget for a link.
    pub fn new(rate: LinkRate) -> Self {
        Self {
            rate,
            credit: 0.0,
            at: Moment::default(),
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
        let passed = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let most = self.usable_rate() * BURST.as_secs_f64();
        self.credit = (self.credit + passed * self.usable_rate()).min(most);
    }

    fn usable_time(&self, bytes: f64) -> Duration {
        Duration::from_secs_f64(bytes / self.usable_rate())
    }

    fn usable_rate(&self) -> f64 {
        self.rate.bytes_per_second() * USED
    }
}
