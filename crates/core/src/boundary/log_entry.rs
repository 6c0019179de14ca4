//! A record as the log service returns it.

use crate::ids::Offset;
use crate::time::WallTime;

/// Is one record of a stream, with the offset and time that the log service gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The record's offset in the stream.
    pub offset: Offset,
    /// When the log service accepted it, on the log service's clock.
    pub taken: WallTime,
    /// The record's bytes, JSON text.
    pub data: Vec<u8>,
}
