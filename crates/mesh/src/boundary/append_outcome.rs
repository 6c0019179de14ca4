//! Outcomes of conditional appends.

/// The outcome of an append that is conditional on the offset of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is stored at that offset.
    Appended,
    /// Another record is stored at that offset, so this one was not appended.
    Superseded,
    /// The store rejected the append; try again later.
    Refused,
    /// The response was missing or malformed. The record may be stored already, or seconds later; only a
    /// read can tell.
    Unknown,
}
