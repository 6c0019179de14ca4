//! The outcome of the work of a refused request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The outcome of a refused request's work, which tells a caller whether a retry is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkOutcome {
    /// The work certainly did not run; a retry is safe.
    NotRun,
    /// The work may have run, may be running, or may not have run.
    Unknown,
    /// The work ran and failed.
    Failed,
}

impl WorkOutcome {
    /// Returns the outcome as it is sent to callers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Failed => "failed",
        }
    }
}

impl fmt::Display for WorkOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
