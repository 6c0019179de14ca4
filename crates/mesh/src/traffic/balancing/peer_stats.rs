//! What a node expects of another.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::ownership::LoadSummary;
use crate::ownership::NodeLoad;

/// How long a load that came with an answer is preferred to the leader's table.
const FRESH: Duration = Duration::from_millis(600);
/// How long a node that could not be reached is avoided, first and at most.
const AVOIDED: Duration = Duration::from_millis(250);
/// See [`AVOIDED`].
const AVOIDED_MOST: Duration = Duration::from_secs(2);
/// The weight of the newest end in the share of failures.
const WEIGHT: f64 = 0.1;

/// Keeps what this node saw of another.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerStats {
    reported: Option<(Moment, NodeLoad)>,
    /// Requests sent there and not ended, and how many of them since the last report.
    outstanding: u32,
    since_report: i64,
    avoided_until: Moment,
    avoided: Duration,
    failures: f64,
}

impl PeerStats {
    pub(super) fn record_sent(&mut self) {
        self.outstanding += 1;
        self.since_report += 1;
    }

    pub(super) fn record_ended(&mut self, now: Moment, load: Option<NodeLoad>, failed: bool) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.since_report -= 1;
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures += (sample - self.failures) * WEIGHT;
        if let Some(load) = load {
            self.reported = Some((now, load));
            self.since_report = 0;
            self.avoided = Duration::ZERO;
        }
    }

    /// Learns that the node could not be reached; a second time doubles how long it is avoided.
    pub(super) fn record_unreachable(&mut self, now: Moment) {
        self.avoided = (self.avoided * 2).clamp(AVOIDED, AVOIDED_MOST);
        self.avoided_until = now + self.avoided;
    }

    pub(super) fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoided_until
    }

    pub(super) fn failures(&self) -> f64 {
        self.failures
    }

    /// Returns the load that came with an answer, if that is not long ago.
    pub(super) fn fresh(&self, now: Moment) -> Option<NodeLoad> {
        let fresh = self.reported.filter(|(at, _)| now.since(*at) < FRESH);
        fresh.map(|(_, load)| load)
    }

    /// Estimates how full the node's server is, as a share of its `slots`.
    pub(super) fn fill(&self, now: Moment, table: LoadSummary, slots: u16) -> f64 {
        let own = f64::from(self.outstanding) / f64::from(slots.max(1));
        let told = match self.fresh(now) {
            Some(load) => {
                let since = self.since_report.max(0) as f64;
                load.utilization() + since / f64::from(load.limit.max(1))
            }
            None => table.utilization(),
        };
        told.max(own)
    }
}
