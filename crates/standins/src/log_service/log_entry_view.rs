//! A record as a read returns it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

/// Is one record of an answer to a read; the data keep the exact text that was appended.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct LogEntryView {
    /// Its position.
    pub offset: u64,
    /// When it was taken, in milliseconds since 1970.
    pub taken_ms: u64,
    /// The appended JSON value.
    pub data: Box<RawValue>,
}
