//! A record as the log service keeps it.

use serde_json::value::RawValue;

/// Is one kept record.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    /// When it was taken, in microseconds since 1970.
    pub taken_us: u64,
    /// The exact JSON text.
    pub data: Box<RawValue>,
}
