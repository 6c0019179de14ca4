//! What a process that shuts down still does, by the time since SIGTERM.

use std::time::Duration;

use quetzalrack_core::time::Moment;

/// How long new requests of clients are taken whatever their deadline: the platform checks readiness once
/// a second and needs two failed checks.
const CLIENT_DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// How long after that requests of peers are accepted; peers learn within one heartbeat that this
/// node is shutting down.
const PEER_DRAIN_TIME: Duration = Duration::from_millis(500);
/// How long before SIGKILL the process ends at the latest: its last steps take a moment.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);
/// How long before SIGKILL the last responses are given and the port is closed: until the process ends,
/// they are written, and connections that were opened last are answered.
const RESPONSE_MARGIN: Duration = Duration::from_millis(600);
/// The part of the grace period after which a request that may outlast the process is not passed on any
/// more: by then it has waited for longer than usual, and as much time is left for those that run.
const LAST_SENDING_DIVISOR: u32 = 2;

/// The moments of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    since: Moment,
    grace: Duration,
}

impl ShutdownTimes {
    /// Computes the moments of a shutdown that started at `since` and is ended by SIGKILL after `grace`.
    pub fn new(since: Moment, grace: Duration) -> Self {
        Self { since, grace }
    }

    /// Returns when idle connections of clients are closed.
    pub fn clients_closed(&self) -> Moment {
        self.since + CLIENT_DRAIN_TIME
    }

    /// Returns from when on all requests of peers are refused.
    pub fn peers_closed(&self) -> Moment {
        self.clients_closed() + PEER_DRAIN_TIME
    }

    /// Returns the time since the shutdown started.
    pub fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.since)
    }

    /// Returns when the last responses are given, and no more connections are accepted.
    pub fn last_response(&self) -> Moment {
        self.since + self.grace.saturating_sub(RESPONSE_MARGIN)
    }

    /// Returns when the process ends at the latest.
    pub fn end(&self) -> Moment {
        self.since + self.grace.saturating_sub(SHUTDOWN_MARGIN)
    }

    /// Returns whether a request that arrives now is taken: late in the shutdown only if it can't outlast
    /// the process.
    pub fn is_taken(&self, now: Moment, deadline: Moment) -> bool {
        now < self.clients_closed() || deadline <= self.last_response()
    }

    /// Returns whether a request that a peer sends now is taken.
    pub fn is_taken_from_peer(&self, now: Moment, deadline: Moment) -> bool {
        now < self.peers_closed() && self.is_taken(now, deadline)
    }

    /// Returns when a request that may outlast the process can no longer be passed on; `None` if it ends in
    /// time.
    pub fn last_sending(&self, deadline: Moment) -> Option<Moment> {
        let half = self.since + self.grace / LAST_SENDING_DIVISOR;
        (deadline > self.last_response()).then_some(half.max(self.clients_closed()))
    }

    /// Returns whether a request that was taken may be passed on now.
    pub fn may_send(&self, now: Moment, deadline: Moment) -> bool {
        self.last_sending(deadline).is_none_or(|last| now < last)
    }

    /// Returns when a client may retry a request that is refused now: the next process listens after this
    /// one was ended.
    pub fn retry_after(&self, now: Moment) -> Duration {
        (self.since + self.grace).since(now)
    }
}
