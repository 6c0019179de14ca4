//! When a request is hedged: sent a second time while the first attempt still runs.

use std::time::Duration;

use super::LatencyWindow;
use crate::time::Moment;

/// The quantile of recent latency after which an attempt is hedged.
const HEDGE_QUANTILE: f64 = 0.95;
/// How many latencies must be known before any hedge.
const MIN_LATENCIES: usize = 20;
/// The shortest delay. Below it, a second attempt would cost more than it could save.
const MIN_DELAY: Duration = Duration::from_millis(2);
/// How many latencies are kept; a quantile near one needs many.
const MAX_LATENCIES: usize = 256;
/// How long latencies are kept; long enough for an ingress with few callers to have enough of
/// them.
const MAX_LATENCY_AGE: Duration = Duration::from_secs(20);

/// Decides how long an attempt may take before a second one is started in parallel.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    latencies: LatencyWindow,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self {
            latencies: LatencyWindow::new(MAX_LATENCIES, MAX_LATENCY_AGE),
        }
    }
}

impl HedgePolicy {
    /// Records the latency of a response.
    pub fn record(&mut self, now: Moment, latency: Duration) {
        self.latencies.record(now, latency);
    }

    /// Returns the delay before a second attempt; none while too few latencies are known.
    pub fn delay(&self) -> Option<Duration> {
        if self.latencies.len() < MIN_LATENCIES {
            return None;
        }
        Some(self.latencies.quantile(HEDGE_QUANTILE).max(MIN_DELAY))
    }
}
