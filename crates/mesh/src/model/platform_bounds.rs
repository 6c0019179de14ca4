//! The bounds that the platform sets.

use std::time::Duration;

/// Says within which bounds the platform wants things done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeBounds {
    /// After a backend server's leaving was acknowledged, how long requests may still reach it.
    pub drain: Duration,
    /// From SIGTERM to SIGKILL.
    pub grace: Duration,
    /// The longest time for which keys may be granted.
    pub hold: Duration,
    /// The share of its requests by which a service may get second attempts.
    pub retry_ratio: f64,
    /// The span over which that share is counted.
    pub retry_window: Duration,
    /// How many second attempts all nodes together have beside that share, in one span.
    pub retry_slack: f64,
    /// By which factor the requests to a cold server may exceed its rate within one second.
    pub cold_factor: f64,
    /// By how many more.
    pub cold_slack: f64,
}

impl Eq for TimeBounds {}
