//! One route in a few figures.

use serde::Deserialize;
use serde::Serialize;

use super::LatencySummary;

/// Counts what callers of one route were told.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteSummary {
    /// The service and route, or `all`.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Refusals that said "not run".
    pub not_run: u64,
    /// Refusals that said "unknown".
    pub unknown: u64,
    /// Refusals that said "failed".
    pub failed: u64,
    /// Answers that broke off, and none at all.
    pub broken: u64,
    /// The latencies of the whole answers.
    pub latency: LatencySummary,
}
