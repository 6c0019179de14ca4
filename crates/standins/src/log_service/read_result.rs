//! What a read found.

use serde::Deserialize;
use serde::Serialize;

use super::LogEntryView;

/// Is the body of an answer to a read.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum ReadResult {
    /// Records, possibly none.
    Entries {
        /// The records in order.
        entries: Vec<LogEntryView>,
        /// Where to read next.
        next: u64,
        /// Whether the stream ended there.
        at_end: bool,
    },
    /// The wanted offset is past retention.
    Expired {
        /// The oldest offset kept.
        oldest: u64,
    },
}
