//! When a request is sent a second time while the first still runs.

use std::time::Duration;

use super::LatencyWindow;
use crate::time::Moment;

/// The quantile of recent latency after which a request counts as slow.
const SLOW_SHARE: f64 = 0.95;
/// How many latencies must be known before any hedge.
const ENOUGH: usize = 20;
/// The shortest wait; below it the second attempt would cost more than the first could lose.
const SHORTEST: Duration = Duration::from_millis(2);
/// How many latencies are kept; a quantile near one needs many.
const KEPT: usize = 256;
/// How long they are kept; an ingress with few callers still has enough of them.
const RECENT: Duration = Duration::from_secs(20);

/// Decides how long an attempt may take before a second one is started beside it.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    latencies: LatencyWindow,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self {
            latencies: LatencyWindow::new(KEPT, RECENT),
        }
    }
}

impl HedgePolicy {
    /// Learns the latency of an answered request.
    pub fn record(&mut self, now: Moment, latency: Duration) {
        self.latencies.record(now, latency);
    }

    /// Returns the wait before a second attempt; none while too little is known.
    pub fn delay(&self) -> Option<Duration> {
        if self.latencies.len() < ENOUGH {
            return None;
        }
        Some(self.latencies.quantile(SLOW_SHARE).max(SHORTEST))
    }
}
