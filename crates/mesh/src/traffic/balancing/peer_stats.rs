//! A node's statistics of a peer.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::ownership::LoadSummary;
use crate::ownership::NodeLoad;

/// How long a load reported with a response is preferred to the one in the leader's table.
const REPORT_MAX_AGE: Duration = Duration::from_millis(600);
/// How long an unreachable peer is avoided at first.
const MIN_AVOIDANCE: Duration = Duration::from_millis(250);
/// How long an unreachable peer is avoided at most.
const MAX_AVOIDANCE: Duration = Duration::from_secs(2);
/// The weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;

/// Keeps what this node has observed of a peer.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerStats {
    reported: Option<(Moment, NodeLoad)>,
    /// Requests sent to the peer that have not ended.
    outstanding: u32,
    /// The change of `outstanding` since the last report.
    since_report: i64,
    avoided_until: Moment,
    avoidance: Duration,
    failure_rate: f64,
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
        self.failure_rate += (sample - self.failure_rate) * FAILURE_WEIGHT;
        if let Some(load) = load {
            self.reported = Some((now, load));
            self.since_report = 0;
            self.avoidance = Duration::ZERO;
        }
    }

    /// Records that the peer was unreachable; each time in a row doubles how long it is avoided.
    pub(super) fn record_unreachable(&mut self, now: Moment) {
        self.avoidance = (self.avoidance * 2).clamp(MIN_AVOIDANCE, MAX_AVOIDANCE);
        self.avoided_until = now + self.avoidance;
    }

    pub(super) fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoided_until
    }

    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the load reported with the last response, if it is recent.
    pub(super) fn recent_load(&self, now: Moment) -> Option<NodeLoad> {
        let recent = self
            .reported
            .filter(|(at, _)| now.since(*at) < REPORT_MAX_AGE);
        recent.map(|(_, load)| load)
    }

    /// Estimates the utilization of the peer's server, as a share of its `slots`.
    pub(super) fn utilization(&self, now: Moment, table: LoadSummary, slots: u16) -> f64 {
        let own = f64::from(self.outstanding) / f64::from(slots.max(1));
        let reported = match self.recent_load(now) {
            Some(load) => {
                let since = self.since_report.max(0) as f64;
                load.utilization() + since / f64::from(load.limit.max(1))
            }
            None => table.utilization(),
        };
        reported.max(own)
    }
}
