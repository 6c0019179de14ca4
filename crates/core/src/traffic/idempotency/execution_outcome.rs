//! How work that must not repeat ended.

use super::StoredResponse;

/// Is the end of an attempt at work that must not repeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// It surely did not run, so that its key may run later.
    NotRun,
    /// It ran, and this is its answer.
    Answered(StoredResponse),
    /// It ran, and its answer is larger than the gate keeps.
    TooLarge,
    /// It ran and failed.
    Failed,
    /// No whole answer of its own came back.
    Unknown,
}
