//! What a cold backend server bears.

use std::collections::VecDeque;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::ColdRate;

/// The span over which requests to a cold server are counted.
const SPAN: Duration = Duration::from_millis(1_000);
/// Widens that span: what is sent evenly may arrive a little bunched.
const BUNCHING: Duration = Duration::from_millis(50);
/// How soon a request may ask again while the rate is not known.
const UNKNOWN: Duration = Duration::from_millis(100);

/// Holds requests back while the server is cold: above its rate it crashes, and every request in it
/// is lost.
#[derive(Clone, Debug, Default)]
pub struct ColdGate {
    rate: ColdRate,
    until: Moment,
    sent: VecDeque<Moment>,
    /// Until when an earlier process may have sent all that a second allows.
    inherited_until: Moment,
}

impl ColdGate {
    /// Starts with a process. One before it, killed a moment ago, may have sent as many requests as a
    /// second allows: both together would be more than a cold server bears. So nothing goes to a cold
    /// server until that second is over.
    pub fn start(&mut self, now: Moment) {
        self.inherited_until = now + SPAN + BUNCHING;
    }

    /// Sets what a cold server bears.
    pub fn set_rate(&mut self, rate: ColdRate) {
        self.rate = rate;
    }

    /// Learns until when the server is cold.
    pub fn set_cold(&mut self, until: Moment) {
        self.until = until;
    }

    /// Returns when the next request may go; none if it may go now.
    pub fn wait(&mut self, now: Moment) -> Option<Duration> {
        self.forget(now);
        if !self.is_cold(now) {
            return None;
        }
        let most = match self.rate {
            ColdRate::Unknown => return Some(UNKNOWN),
            ColdRate::Unlimited => return None,
            ColdRate::PerSecond(rate) => rate.max(1.0),
        };
        if now < self.inherited_until {
            return Some(self.inherited_until.since(now));
        }
        if (self.sent.len() as f64) + 1.0 <= most {
            return None;
        }
        let oldest = self.sent.front()?;
        Some((SPAN + BUNCHING).saturating_sub(now.since(*oldest)))
    }

    /// Counts a request that is sent.
    pub fn count(&mut self, now: Moment) {
        self.sent.push_back(now);
    }

    /// Tells whether the server is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.rate != ColdRate::Unlimited && now < self.until
    }

    /// Tells whether the server is cold and nobody has said what it bears: nothing may go.
    pub fn is_shut(&self, now: Moment) -> bool {
        self.rate == ColdRate::Unknown && now < self.until
    }

    /// Returns how many requests went within the last second.
    pub fn recent(&mut self, now: Moment) -> usize {
        self.forget(now);
        self.sent.len()
    }

    /// Returns what a cold server bears, as far as known.
    pub fn rate(&self) -> ColdRate {
        self.rate
    }

    /// Returns until when the server is cold.
    pub fn until(&self) -> Moment {
        self.until
    }

    fn forget(&mut self, now: Moment) {
        let old = |at: &Moment| now.since(*at) >= SPAN + BUNCHING;
        while self.sent.front().is_some_and(old) {
            self.sent.pop_front();
        }
    }
}
