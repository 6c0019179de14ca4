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
///
/// A request is counted twice: when it is begun, so that the rest waits where it can be refused, and when
/// it is written. Opening a connection takes a while, most of all to a server that has just started, and
/// what was begun in one second may be written in the next.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    rate: ColdRate,
    until: Moment,
    /// Whether another life of the server may listen, which is cold.
    doubted: bool,
    begun: VecDeque<Moment>,
    written: VecDeque<Moment>,
    /// Until when an earlier process may have sent all that a second allows.
    inherited_until: Moment,
}

impl ColdStartLimiter {
    /// Starts with a process. One before it, killed a moment ago, may have sent as many requests as a
    /// second allows: both together would be more than a cold server bears. So nothing goes to a cold
    /// server until that second is over.
    pub fn block_first_window(&mut self, now: Moment) {
        self.inherited_until = now + SPAN + BUNCHING;
    }

    /// Sets what a cold server bears.
    pub fn set_rate(&mut self, rate: ColdRate) {
        self.rate = rate;
    }

    /// Learns until when the server is cold.
    pub fn set_cold_until(&mut self, until: Moment) {
        self.until = until;
    }

    /// Learns whether another life of the server may listen in place of the one that was heard last.
    pub fn set_maybe_restarted(&mut self, doubted: bool) {
        self.doubted = doubted;
    }

    /// Returns when the next request may be begun; none if it may be now.
    pub fn admit_delay(&mut self, now: Moment) -> Option<Duration> {
        forget(&mut self.begun, now);
        if !self.is_cold(now) {
            return None;
        }
        let most = match self.rate {
            ColdRate::Unknown => return Some(UNKNOWN),
            ColdRate::Unlimited => return None,
            ColdRate::PerSecond { begun, .. } => begun,
        };
        if now < self.inherited_until {
            return Some(self.inherited_until.since(now));
        }
        room(&self.begun, now, most)
    }

    /// Counts a request that is begun.
    pub fn record_admitted(&mut self, now: Moment) {
        self.begun.push_back(now);
    }

    /// Counts a request that is written now; if it may not be, returns when to ask again.
    pub fn try_send(&mut self, now: Moment) -> Option<Duration> {
        forget(&mut self.written, now);
        let wait = match self.rate {
            _ if !self.is_cold(now) => None,
            ColdRate::Unknown => Some(UNKNOWN),
            ColdRate::Unlimited => None,
            ColdRate::PerSecond { most, .. } => room(&self.written, now, most),
        };
        if wait.is_none() {
            self.written.push_back(now);
        }
        wait
    }

    /// Tells whether the server is cold, or may be.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.rate != ColdRate::Unlimited && (self.doubted || now < self.until)
    }

    /// Tells whether the server is cold and nobody has said what it bears: nothing may go.
    pub fn is_blocked(&self, now: Moment) -> bool {
        self.rate == ColdRate::Unknown && self.is_cold(now)
    }

    /// Returns how many requests were begun and written within the last second.
    pub fn recent_counts(&mut self, now: Moment) -> (usize, usize) {
        forget(&mut self.begun, now);
        forget(&mut self.written, now);
        (self.begun.len(), self.written.len())
    }

    /// Returns what a cold server bears, as far as known.
    pub fn rate(&self) -> ColdRate {
        self.rate
    }

    /// Returns until when the server is cold.
    pub fn cold_until(&self) -> Moment {
        self.until
    }
}

fn forget(counted: &mut VecDeque<Moment>, now: Moment) {
    let old = |at: &Moment| now.since(*at) >= SPAN + BUNCHING;
    while counted.front().is_some_and(old) {
        counted.pop_front();
    }
}

/// Returns when one more fits into a second of at most so many; none if it does now.
fn room(counted: &VecDeque<Moment>, now: Moment, most: f64) -> Option<Duration> {
    if (counted.len() as f64) + 1.0 <= most.max(1.0) {
        return None;
    }
    let oldest = counted.front()?;
    Some((SPAN + BUNCHING).saturating_sub(now.since(*oldest)))
}
