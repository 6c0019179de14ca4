//! Time limits and budgets that the platform sets.

use std::time::Duration;

/// Time limits, retry budget and cold-start limits that the platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlatformBounds {
    /// How long requests may still reach a backend server after its drain was acknowledged.
    pub drain_time: Duration,
    /// The time from SIGTERM to SIGKILL.
    pub shutdown_grace: Duration,
    /// The longest time for which keys may be granted.
    pub max_hold: Duration,
    /// A service's second attempts as a share of its requests.
    pub retry_ratio: f64,
    /// The time window over which that share is computed.
    pub retry_window: Duration,
    /// The second attempts that all nodes together may make beyond that share in one window.
    pub retry_slack: f64,
    /// The factor by which the requests to a cold server may exceed its rate within one second.
    pub cold_factor: f64,
    /// The number of requests by which they may exceed it beyond that factor.
    pub cold_slack: f64,
}

impl Eq for PlatformBounds {}
