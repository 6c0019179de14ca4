//! An ingress's statistics of one node.

use std::time::Duration;

use super::NodeLoad;
use crate::cluster::RoutingNode;
use crate::time::Moment;

/// How long a load reported with a response is preferred to the one in the routing table.
const REPORT_MAX_AGE: Duration = Duration::from_millis(500);
/// The ratio to the service's median latency above which a node is a straggler.
const STRAGGLER_RATIO: f64 = 3.0;
/// The ratio to the service's median latency down to which a straggler must recover.
const RECOVERY_RATIO: f64 = 2.0;
/// Differences below this are noise, in microseconds.
const NOISE_US: f64 = 3_000.0;
/// How many attempts abandoned in a row for a faster hedge make a node a straggler. If hedges
/// overtake all its responses, no load report shows that it is slow.
const STRAGGLER_ABANDONED: u32 = 3;
/// The initial weight of a straggler that recovers.
const RECOVERY_WEIGHT: f64 = 0.1;
/// How long the weight of a recovering node takes to double.
const RECOVERY_STEP: Duration = Duration::from_millis(250);

/// Keeps the latest load of a node, the number of this ingress's requests there, and the node's
/// weight while it recovers from being a straggler.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerStats {
    outstanding: u32,
    report: Option<Report>,
    status: PeerStatus,
    last_probe: Moment,
    /// Attempts abandoned since the node's last response.
    abandoned: u32,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Moment,
    load: NodeLoad,
    outstanding: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum PeerStatus {
    #[default]
    Normal,
    Straggler,
    Recovering(Moment),
}

impl PeerStats {
    pub(super) fn record_sent(&mut self) {
        self.outstanding += 1;
    }

    pub(super) fn record_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    pub(super) fn record_abandoned(&mut self) {
        self.abandoned += 1;
    }

    pub(super) fn record_load(&mut self, at: Moment, load: NodeLoad) {
        self.abandoned = 0;
        self.report = Some(Report {
            at,
            load,
            outstanding: self.outstanding,
        });
    }

    /// Estimates the current load from the last report and the requests of this ingress that began
    /// or ended since.
    pub(super) fn load(&self, now: Moment, node: &RoutingNode) -> NodeLoad {
        let Some(report) = self
            .report
            .filter(|report| now.since(report.at) < REPORT_MAX_AGE)
        else {
            let mut load = NodeLoad {
                in_flight: node.in_flight,
                limit: node.limit,
                latency_us: node.latency_us,
            };
            load.in_flight.0 = load.in_flight.0.max(self.outstanding);
            // A node that has not served a request yet reports no latency; the last reported one
            // is better than none.
            if let (0, Some(report)) = (load.latency_us, self.report) {
                load.latency_us = report.load.latency_us;
            }
            return load;
        };
        let mut load = report.load;
        let since = i64::from(self.outstanding) - i64::from(report.outstanding);
        let estimate = (i64::from(load.in_flight.0) + since).max(i64::from(self.outstanding));
        load.in_flight.0 = u32::try_from(estimate).unwrap_or(0);
        load
    }

    /// Updates the status by comparing the node with the median latency of its service.
    pub(super) fn update_status(&mut self, now: Moment, latency_us: f64, median_us: f64) {
        let slow = self.abandoned >= STRAGGLER_ABANDONED
            || (latency_us > median_us * STRAGGLER_RATIO && latency_us > median_us + NOISE_US);
        let recovered = self.abandoned == 0
            && latency_us <= (median_us * RECOVERY_RATIO).max(median_us + NOISE_US);
        self.status = match self.status {
            _ if slow => PeerStatus::Straggler,
            PeerStatus::Straggler if recovered => PeerStatus::Recovering(now),
            PeerStatus::Recovering(since) if weight_after(now.since(since)) >= 1.0 => {
                PeerStatus::Normal
            }
            status => status,
        };
    }

    pub(super) fn is_straggler(&self) -> bool {
        self.status == PeerStatus::Straggler
    }

    pub(super) fn weight(&self, now: Moment) -> f64 {
        match self.status {
            PeerStatus::Normal => 1.0,
            PeerStatus::Straggler => RECOVERY_WEIGHT,
            PeerStatus::Recovering(since) => weight_after(now.since(since)),
        }
    }

    /// Returns when the node was last probed.
    pub(super) fn last_probe(&self) -> Moment {
        self.last_probe
    }

    pub(super) fn set_last_probe(&mut self, now: Moment) {
        self.last_probe = now;
    }
}

fn weight_after(span: Duration) -> f64 {
    let doublings = span.as_secs_f64() / RECOVERY_STEP.as_secs_f64();
    (RECOVERY_WEIGHT * doublings.exp2()).min(1.0)
}
