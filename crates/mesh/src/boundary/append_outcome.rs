//! What became of a conditional append.

/// Is the outcome of an append that names the offset at which it must land.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record stands at that offset.
    Appended,
    /// Another record stands there, so ours is not in the store.
    Overtaken,
    /// The store did nothing; try again later.
    Refused,
    /// No answer came, or a broken one: the record may stand now, or appear seconds later. Only a
    /// read tells.
    Unknown,
}
