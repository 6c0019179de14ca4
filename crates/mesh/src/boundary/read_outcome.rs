//! Outcomes of reads from the store.

use super::KeyedRecord;

/// The outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The records from the requested offset on.
    Records {
        /// In the order of their offsets.
        records: Vec<KeyedRecord>,
        /// The end of the topic: the offset that the next record will get.
        end: u64,
        /// The offset of the next read.
        next: u64,
    },
    /// The requested records have expired; read the newest value of each key instead.
    Expired,
    /// The store did not respond, or rejected the read.
    Unavailable,
}
