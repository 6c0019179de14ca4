//! What a read of the store returned.

use super::KeyedRecord;

/// Is the outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The records from the asked offset on; `end` is the offset that the next record will get.
    Records {
        /// In the order of their offsets.
        records: Vec<KeyedRecord>,
        /// Where the topic ends.
        end: u64,
        /// Where to read on.
        next: u64,
    },
    /// The asked records have expired; read the newest value of each key instead.
    Expired,
    /// The store did not answer, or refused.
    Unavailable,
}
