//! The records of the intent stream.

use serde::Deserialize;
use serde::Serialize;

use super::IntentSnapshot;
use super::SignedOrder;

/// Is one record of the intent stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LogRecord {
    /// An operator's order.
    Order(SignedOrder),
    /// A copy of what earlier records led to, for readers that come after their retention.
    Copy(IntentSnapshot),
}

impl LogRecord {
    /// The greatest record that is read, in bytes; a greater one is ignored by every reader alike.
    pub const MAX_BYTES: usize = 16 * 1024 * 1024;

    /// Writes the record for the log service.
    pub fn to_data(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }
}
