//! How an attempt at work with an idempotency key ended.

use super::StoredResponse;

/// The outcome of an attempt at work with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// It certainly did not run, so a later attempt with the key may run.
    NotRun,
    /// It ran, and this is its response.
    Answered(StoredResponse),
    /// It ran, and its response is too large to store.
    TooLarge,
    /// It ran and failed.
    Failed,
    /// It was sent, and no complete response to it came back.
    Unknown,
}
