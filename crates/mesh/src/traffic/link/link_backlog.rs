//! The bytes that the link still has to carry.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::USABLE_SHARE;
use crate::model::LinkRate;
use crate::traffic::admission::Ticket;

/// Estimates how long the link is busy with large responses: those being sent, and those of requests
/// that the server still runs.
#[derive(Clone, Debug, Default)]
pub struct LinkBacklog {
    rate: Option<LinkRate>,
    /// Bytes of responses that by the link's rate were not yet sent at `drained_at`.
    unsent: f64,
    drained_at: Moment,
    /// The expected response bytes of the requests at the server.
    expected: BTreeMap<Ticket, f64>,
}

impl LinkBacklog {
    /// Sets the rate of the link; without one, the link is never busy.
    pub fn set_rate(&mut self, rate: Option<LinkRate>) {
        self.rate = rate;
    }

    /// Adds a request that is sent to the server and whose response will be large.
    pub fn begin(&mut self, ticket: Ticket, bytes: f64) {
        self.expected.insert(ticket, bytes);
    }

    /// Records the size of a request's response, or zero if there is none.
    pub fn end(&mut self, now: Moment, ticket: Ticket, bytes: f64) {
        if self.expected.remove(&ticket).is_some() {
            self.drain(now);
            self.unsent += bytes;
        }
    }

    /// Returns how long the link will be busy.
    pub fn time(&mut self, now: Moment) -> Duration {
        self.drain(now);
        let expected: f64 = self.expected.values().sum();
        self.time_for(self.unsent + expected)
    }

    /// Returns how long the link takes for a number of bytes.
    pub fn time_for(&self, bytes: f64) -> Duration {
        self.rate
            .map_or(Duration::ZERO, |rate| rate.time_for(bytes / USABLE_SHARE))
    }

    fn drain(&mut self, now: Moment) {
        let passed = now.since(self.drained_at).as_secs_f64();
        self.drained_at = self.drained_at.max(now);
        let carried = self.rate.map_or(f64::INFINITY, |rate| {
            rate.bytes_per_second() * USABLE_SHARE * passed
        });
        self.unsent = (self.unsent - carried).max(0.0);
    }
}
