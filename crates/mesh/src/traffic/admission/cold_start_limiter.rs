//! The rate limit of a cold backend server.

use std::collections::VecDeque;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::ColdRate;

/// The window over which requests to a cold server are counted.
const WINDOW: Duration = Duration::from_millis(1_000);
/// Extends the window: requests that are sent evenly may arrive less evenly.
const JITTER: Duration = Duration::from_millis(50);
/// The delay until the next attempt while the rate is unknown.
const UNKNOWN_RATE_DELAY: Duration = Duration::from_millis(100);

/// Limits the rate of requests while the server is cold: above its rate it crashes, and all its
/// requests are lost.
///
/// A request is counted twice: when it is admitted, so that the others wait where they can be
/// refused, and when it is sent. Opening a connection takes time, especially to a server that has
/// just started, so requests admitted in one second may be sent in the next.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    rate: ColdRate,
    cold_until: Moment,
    /// Whether the server may have restarted, in which case it is cold.
    maybe_restarted: bool,
    admitted: VecDeque<Moment>,
    sent: VecDeque<Moment>,
    /// Until when requests of an earlier process may count towards the rate.
    blocked_until: Moment,
}

impl ColdStartLimiter {
    /// Blocks requests to a cold server for the first window after the process starts. An earlier
    /// process, killed a moment ago, may have sent all requests that a second allows, and both
    /// together would exceed the rate that a cold server can handle.
    pub fn block_first_window(&mut self, now: Moment) {
        self.blocked_until = now + WINDOW + JITTER;
    }

    /// Sets the rate that a cold server can handle.
    pub fn set_rate(&mut self, rate: ColdRate) {
        self.rate = rate;
    }

    /// Sets until when the server is cold.
    pub fn set_cold_until(&mut self, until: Moment) {
        self.cold_until = until;
    }

    /// Records that the server is cold until a moment, or longer if that is known.
    pub fn extend_cold(&mut self, until: Moment) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Sets whether the server may have restarted since its last heartbeat.
    pub fn set_maybe_restarted(&mut self, maybe_restarted: bool) {
        self.maybe_restarted = maybe_restarted;
    }

    /// Returns how long the next request has to wait for its admission; none if it may be admitted
    /// now.
    pub fn admit_delay(&mut self, now: Moment) -> Option<Duration> {
        drop_old(&mut self.admitted, now);
        if !self.is_cold(now) {
            return None;
        }
        let limit = match self.rate {
            ColdRate::Unknown => return Some(UNKNOWN_RATE_DELAY),
            ColdRate::Unlimited => return None,
            ColdRate::PerSecond { begun, .. } => begun,
        };
        if now < self.blocked_until {
            return Some(self.blocked_until.since(now));
        }
        delay_until_room(&self.admitted, now, limit)
    }

    /// Counts a request that is admitted.
    pub fn record_admitted(&mut self, now: Moment) {
        self.admitted.push_back(now);
    }

    /// Counts a request that is sent now. If it must not be sent yet, returns the delay until the
    /// next attempt instead.
    pub fn try_send(&mut self, now: Moment) -> Option<Duration> {
        drop_old(&mut self.sent, now);
        let wait = match self.rate {
            _ if !self.is_cold(now) => None,
            ColdRate::Unknown => Some(UNKNOWN_RATE_DELAY),
            ColdRate::Unlimited => None,
            ColdRate::PerSecond { most, .. } => delay_until_room(&self.sent, now, most),
        };
        if wait.is_none() {
            self.sent.push_back(now);
        }
        wait
    }

    /// Returns whether the server is cold, or may be.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.rate != ColdRate::Unlimited && (self.maybe_restarted || now < self.cold_until)
    }

    /// Returns whether nothing may be sent because the server is cold and its rate is unknown.
    pub fn is_blocked(&self, now: Moment) -> bool {
        self.rate == ColdRate::Unknown && self.is_cold(now)
    }

    /// Returns how many requests were admitted and how many were sent within the last second.
    pub fn recent_counts(&mut self, now: Moment) -> (usize, usize) {
        drop_old(&mut self.admitted, now);
        drop_old(&mut self.sent, now);
        (self.admitted.len(), self.sent.len())
    }

    /// Returns the rate that a cold server can handle, as far as known.
    pub fn rate(&self) -> ColdRate {
        self.rate
    }

    /// Returns until when the server is cold.
    pub fn cold_until(&self) -> Moment {
        self.cold_until
    }
}

fn drop_old(counted: &mut VecDeque<Moment>, now: Moment) {
    let is_old = |at: &Moment| now.since(*at) >= WINDOW + JITTER;
    while counted.front().is_some_and(is_old) {
        counted.pop_front();
    }
}

/// Returns how long until one more request fits into a window of at most `limit` requests; none if
/// it fits now.
fn delay_until_room(counted: &VecDeque<Moment>, now: Moment, limit: f64) -> Option<Duration> {
    if (counted.len() as f64) + 1.0 <= limit.max(1.0) {
        return None;
    }
    let oldest = counted.front()?;
    Some((WINDOW + JITTER).saturating_sub(now.since(*oldest)))
}
