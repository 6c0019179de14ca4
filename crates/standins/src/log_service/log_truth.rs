//! What the log service truly did.

use serde::Deserialize;
use serde::Serialize;

use super::StreamTruth;

/// Counts appends, refusals and reads since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LogTruth {
    /// Records that stand.
    pub appends: u64,
    /// Appends refused because of the rate.
    pub over_rate: u64,
    /// Appends refused because the service was down.
    pub refused: u64,
    /// Appends whose answer was lost after the record stood.
    pub answers_lost: u64,
    /// Bytes of all records that stand.
    pub appended_bytes: u64,
    /// The most records taken within one calendar second.
    pub most_per_second: u64,
    /// Reads answered.
    pub reads: u64,
    /// The streams, by name.
    pub streams: Vec<StreamTruth>,
}
