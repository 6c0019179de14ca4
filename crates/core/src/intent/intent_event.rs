//! What can happen to a reader of the intent stream.

use super::IntentSnapshot;
use crate::boundary::LogEntry;
use crate::ids::Offset;
use crate::security::KeyRing;
use crate::time::WallTime;

/// Is one input of [`super::IntentState`].
#[derive(Clone, Debug)]
pub enum IntentEvent {
    /// Records were read from [`super::IntentState::next_offset`] on, in order.
    LogRead {
        /// The records.
        entries: Vec<LogEntry>,
        /// Whether the stream ended there.
        at_end: bool,
    },
    /// The wanted offset is past retention; this is the oldest one kept.
    LogExpired(Offset),
    /// A peer sent its snapshot.
    SnapshotReceived(Box<IntentSnapshot>),
    /// Time has passed.
    Tick {
        /// The calendar clock, compared with the log's own times.
        wall: WallTime,
    },
    /// Whether this node, as the controller, republishes snapshots.
    RepublishAllowed(bool),
    /// The operators' keys were replaced.
    KeysChanged(KeyRing),
}
