//! What a caller was told.

use serde::Deserialize;
use serde::Serialize;

/// Is the outcome of one request as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SaidOutcome {
    /// A whole answer of success.
    Answered,
    /// A refusal that says that the work did not run.
    NotRun,
    /// A refusal that says that the work may have run.
    Unknown,
    /// A refusal that says that the work ran and failed.
    Failed,
    /// No answer, or one that broke off visibly.
    Broken,
}
