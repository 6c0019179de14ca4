//! The outcome of an append.

use crate::ids::Offset;

/// Is the outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is stored at this offset.
    Appended(Offset),
    /// The log service refused it for now, so it is certainly not stored; retry later.
    Refused,
    /// No answer or a malformed one arrived: the record may be stored or not. Retry with the same
    /// record id, or read on to find out.
    Unknown,
}
