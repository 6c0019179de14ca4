//! The kinds of control records.

/// The kind of a record that a node appends to the control stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordKind {
    Join,
    Claim,
    Established,
    Checkpoint,
}
