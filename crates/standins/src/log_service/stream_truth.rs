//! What became of one stream.

use serde::Deserialize;
use serde::Serialize;

/// Counts one stream's records.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamTruth {
    /// The stream's name.
    pub stream: String,
    /// The oldest offset kept.
    pub oldest: u64,
    /// The offset that the next record gets, which is how many were ever appended.
    pub next: u64,
}
