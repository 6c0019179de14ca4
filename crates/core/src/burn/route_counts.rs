//! The counts of one route.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::LatencyHistogram;
use super::RequestOutcome;

/// Counts outcomes and latencies since the counting process started.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteCounts {
    /// Answered in time.
    pub served: u64,
    /// Answered, but slower than the objective.
    pub late: u64,
    /// Refused without having run.
    pub refused: u64,
    /// Unknown whether it ran.
    pub unknown: u64,
    /// Ran and failed.
    pub failed: u64,
    /// Latencies of the requests counted as served or late.
    pub latency: LatencyHistogram,
}

impl RouteCounts {
    /// Counts one request, and its latency if the caller got a complete answer.
    pub fn record(&mut self, outcome: RequestOutcome, latency: Duration) {
        *self.slot(outcome) += 1;
        if matches!(outcome, RequestOutcome::Served | RequestOutcome::Late) {
            self.latency.record(latency);
        }
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.served += other.served;
        self.late += other.late;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.latency.merge(&other.latency);
    }

    /// Returns the counts added since `earlier`, an earlier state of the same process.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            served: self.served.saturating_sub(earlier.served),
            late: self.late.saturating_sub(earlier.late),
            refused: self.refused.saturating_sub(earlier.refused),
            unknown: self.unknown.saturating_sub(earlier.unknown),
            failed: self.failed.saturating_sub(earlier.failed),
            latency: self.latency.since(&earlier.latency),
        }
    }

    /// Returns how many requests had this outcome.
    pub fn of(&self, outcome: RequestOutcome) -> u64 {
        match outcome {
            RequestOutcome::Served => self.served,
            RequestOutcome::Late => self.late,
            RequestOutcome::Refused => self.refused,
            RequestOutcome::Unknown => self.unknown,
            RequestOutcome::Failed => self.failed,
        }
    }

    /// Returns how many requests there were.
    pub fn total(&self) -> u64 {
        self.served + self.faults()
    }

    /// Returns how many requests spent error budget.
    pub fn faults(&self) -> u64 {
        RequestOutcome::FAULTS
            .iter()
            .map(|fault| self.of(*fault))
            .sum()
    }

    fn slot(&mut self, outcome: RequestOutcome) -> &mut u64 {
        match outcome {
            RequestOutcome::Served => &mut self.served,
            RequestOutcome::Late => &mut self.late,
            RequestOutcome::Refused => &mut self.refused,
            RequestOutcome::Unknown => &mut self.unknown,
            RequestOutcome::Failed => &mut self.failed,
        }
    }
}
