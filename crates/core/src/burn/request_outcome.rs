//! The outcome of a caller's request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Is the outcome of one request as its caller saw it; each request has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// A complete answer within the objective's latency.
    Served,
    /// A complete answer, but slower than the objective.
    Late,
    /// A refusal: the request certainly did not run.
    Refused,
    /// Whether the request ran is unknown.
    Unknown,
    /// The request ran and failed.
    Failed,
}

impl RequestOutcome {
    /// Every outcome that spends error budget.
    pub const FAULTS: [Self; 4] = [Self::Late, Self::Refused, Self::Unknown, Self::Failed];
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Served => "served",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        })
    }
}
