//! What one ingress remembers of one node.

use std::time::Duration;

use super::NodeLoad;
use crate::cluster::RoutingNode;
use crate::time::Moment;

/// How long a load reported on an answer is preferred to the one in the routing table.
const FRESH: Duration = Duration::from_millis(500);
/// How many times the median latency of its service makes a straggler.
const STRAGGLER_RATIO: f64 = 3.0;
/// How many times the median latency of its service a straggler must come down to.
const RETURN_RATIO: f64 = 2.0;
/// Differences below this are noise, in microseconds.
const NOISE_US: f64 = 3_000.0;
/// How many attempts in a row must have been overtaken by a hedge; a straggler whose every answer is
/// overtaken sends no load report that could tell of it.
const MISSED: u32 = 3;
/// The weight with which a straggler returns.
const RETURN_WEIGHT: f64 = 0.1;
/// How long its weight takes to double.
const RETURN_STEP: Duration = Duration::from_millis(250);

/// Keeps the freshest load of a node, the requests that this ingress has there, and how much the
/// node is trusted after it was a straggler.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerStats {
    outstanding: u32,
    report: Option<Report>,
    standing: Standing,
    measured: Moment,
    /// Attempts given up since the node's last answer.
    missed: u32,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Moment,
    load: NodeLoad,
    outstanding: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Standing {
    #[default]
    Good,
    Straggler,
    Returning(Moment),
}

impl PeerStats {
    pub(super) fn record_sent(&mut self) {
        self.outstanding += 1;
    }

    pub(super) fn record_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    pub(super) fn record_abandoned(&mut self) {
        self.missed += 1;
    }

    pub(super) fn record_load(&mut self, at: Moment, load: NodeLoad) {
        self.missed = 0;
        self.report = Some(Report {
            at,
            load,
            outstanding: self.outstanding,
        });
    }

    /// Estimates the load now: the last report, and what this ingress sent or got back since.
    pub(super) fn load(&self, now: Moment, node: &RoutingNode) -> NodeLoad {
        let Some(report) = self.report.filter(|report| now.since(report.at) < FRESH) else {
            let mut load = NodeLoad {
                in_flight: node.in_flight,
                limit: node.limit,
                latency_us: node.latency_us,
            };
            load.in_flight.0 = load.in_flight.0.max(self.outstanding);
            // A node that has answered nothing yet reports no latency; what was last seen of it
            // is better than nothing.
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

    /// Judges the node against the median latency of its service.
    pub(super) fn judge(&mut self, now: Moment, latency_us: f64, median_us: f64) {
        let slow = self.missed >= MISSED
            || (latency_us > median_us * STRAGGLER_RATIO && latency_us > median_us + NOISE_US);
        let calm =
            self.missed == 0 && latency_us <= (median_us * RETURN_RATIO).max(median_us + NOISE_US);
        self.standing = match self.standing {
            _ if slow => Standing::Straggler,
            Standing::Straggler if calm => Standing::Returning(now),
            Standing::Returning(since) if weight_after(now.since(since)) >= 1.0 => Standing::Good,
            standing => standing,
        };
    }

    pub(super) fn is_straggler(&self) -> bool {
        self.standing == Standing::Straggler
    }

    pub(super) fn weight(&self, now: Moment) -> f64 {
        match self.standing {
            Standing::Good => 1.0,
            Standing::Straggler => RETURN_WEIGHT,
            Standing::Returning(since) => weight_after(now.since(since)),
        }
    }

    /// Returns when the node last got a request only to be measured.
    pub(super) fn measured(&self) -> Moment {
        self.measured
    }

    pub(super) fn set_measured(&mut self, now: Moment) {
        self.measured = now;
    }
}

fn weight_after(span: Duration) -> f64 {
    let doublings = span.as_secs_f64() / RETURN_STEP.as_secs_f64();
    (RETURN_WEIGHT * doublings.exp2()).min(1.0)
}
