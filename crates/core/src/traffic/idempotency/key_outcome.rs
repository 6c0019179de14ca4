//! The stored outcome of an idempotency key.

use serde::Deserialize;
use serde::Serialize;

use super::StoredResponse;

/// The outcome of the work of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum KeyOutcome {
    /// It was sent and has not ended.
    Running,
    /// It ran, and this is its response.
    Answered(StoredResponse),
    /// It ran, and its response was too large to store.
    TooLarge,
    /// It ran and failed.
    Failed,
    /// It was sent and its response was lost.
    Unknown,
}
