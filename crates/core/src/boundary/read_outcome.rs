//! What a read of the log returned.

use super::LogEntry;
use crate::ids::Offset;

/// Is the outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records from the requested offset on, possibly none.
    Entries {
        /// The records in order.
        entries: Vec<LogEntry>,
        /// Where to read next.
        next: Offset,
        /// Whether the stream ended there when it was read.
        at_end: bool,
    },
    /// The record at the requested offset has expired; this is the oldest stored offset.
    Expired(Offset),
    /// The log service did not answer.
    Unavailable,
}
