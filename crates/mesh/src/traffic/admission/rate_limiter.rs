//! The limiter for a backend server that names how many requests per second it accepts.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::ServerLimit;
use crate::model::RequestRate;

/// The share of the limit that is used; the rest covers requests that arrive closer together than they
/// were sent.
const USED_SHARE: f64 = 0.95;
/// The lowest rate that is sent in requests per second, however low the limit: only a response tells that
/// the limit has ended.
const MIN_RATE: f64 = 0.1;
/// How much earlier than its turn a request may be sent, to make up for timers that are late.
const MAX_EARLY: Duration = Duration::from_millis(20);
/// How many requests run at once while the limit is not known. A process that starts beside a running
/// server learns it with the first response.
const UNKNOWN_RUNNING: usize = 4;
/// How long after its start a process waits for another node that knows of a limit. Whoever has told its
/// callers of one says so with its next request.
const UNKNOWN_PERIOD: Duration = Duration::from_secs(3);
/// The delay until the next attempt while the limit is not known.
const UNKNOWN_DELAY: Duration = Duration::from_millis(100);
/// The longest time by which refused callers are asked to return after each other.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(2);

/// Spreads requests evenly at the rate that the server accepts.
///
/// An even spread, without any saved-up requests, keeps every window within the limit, also one that began
/// in an earlier process beside the server. As with [`super::ColdStartLimiter`], a request counts when it is
/// admitted, and again when it is sent.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimiter {
    limit: ServerLimit,
    /// When this process started; an earlier one may have sent a request just before.
    started: Moment,
    /// The turn of the last request to be admitted, and of the last one to be sent.
    last_admitted: Moment,
    last_sent: Moment,
    /// When the next refused caller is asked to return.
    next_return: Moment,
}

impl RateLimiter {
    /// Sets when this process started.
    pub(super) fn set_started(&mut self, now: Moment) {
        self.started = now;
    }

    /// Sets the limit that the server names.
    pub(super) fn set_limit(&mut self, limit: ServerLimit) {
        self.limit = limit;
    }

    /// Returns the time from one request to the next; none without a limit.
    pub(super) fn interval(&self) -> Option<Duration> {
        let ServerLimit::PerSecond(limit) = self.limit else {
            return None;
        };
        let used = (limit.per_second() * USED_SHARE).max(MIN_RATE);
        RequestRate::from_per_second(used).map(RequestRate::interval)
    }

    /// Returns how long the next request has to wait for its admission while `running` requests run; none
    /// if it may be admitted now.
    pub(super) fn admit_delay(&self, now: Moment, running: usize) -> Option<Duration> {
        match self.limit {
            ServerLimit::Unknown => {
                let is_recent = now.since(self.started) < UNKNOWN_PERIOD;
                (is_recent && running >= UNKNOWN_RUNNING).then_some(UNKNOWN_DELAY)
            }
            _ => self.delay(now, self.last_admitted),
        }
    }

    /// Returns when the next request may be admitted.
    pub(super) fn next_admission(&self) -> Moment {
        self.next_turn(self.last_admitted)
    }

    /// Counts a request that is admitted.
    pub(super) fn record_admitted(&mut self, now: Moment) {
        self.last_admitted = self.next_turn(self.last_admitted).max(now);
    }

    /// Returns how long the next request has to wait before it is sent; none if it may be sent now.
    pub(super) fn send_delay(&self, now: Moment) -> Option<Duration> {
        self.delay(now, self.last_sent)
    }

    /// Counts a request that is sent.
    pub(super) fn record_sent(&mut self, now: Moment) {
        self.last_sent = self.next_turn(self.last_sent).max(now);
    }

    /// Returns when a refused caller may return: after the `wait` of those before it, and not together
    /// with other refused callers.
    pub(super) fn return_after(&mut self, now: Moment, wait: Duration) -> Duration {
        let Some(interval) = self.interval() else {
            return wait;
        };
        let earliest = now + wait;
        let mut at = self.next_return.max(earliest);
        if at > earliest + MAX_RETURN_SPREAD {
            at = earliest;
        }
        self.next_return = at + interval;
        at.since(now)
    }

    fn delay(&self, now: Moment, last: Moment) -> Option<Duration> {
        let interval = self.interval()?;
        let left = self.next_turn(last).since(now);
        (left > MAX_EARLY.min(interval / 2)).then_some(left)
    }

    /// Returns the earliest turn after the last one, at the rate that the server accepts now.
    fn next_turn(&self, last: Moment) -> Moment {
        let interval = self.interval().unwrap_or_default();
        last.max(self.started) + interval
    }
}
