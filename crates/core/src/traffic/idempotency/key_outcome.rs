//! What the gate remembers of a key.

use serde::Deserialize;
use serde::Serialize;

use super::StoredResponse;

/// Is what became of the work of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum KeyOutcome {
    /// It was sent and has not ended.
    Running,
    /// It ran, and this is its answer.
    Answered(StoredResponse),
    /// It ran, and its answer was too large to keep.
    TooLarge,
    /// It ran and failed.
    Failed,
    /// It was sent and its answer was lost.
    Unknown,
}
