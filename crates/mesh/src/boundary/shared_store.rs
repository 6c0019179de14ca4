//! The platform's metadata store.

use std::time::Duration;

use quetzalrack_core::boundary::BoxFuture;

use super::AppendOutcome;
use super::KeyedRecord;
use super::ReadOutcome;

/// Reaches topics of the platform's store that keep the newest value of each key.
///
/// Its answers are linearizable, and it loses nothing that it acknowledged; it can be slow, away
/// for some callers or for all, and an answer can be lost after the call took effect.
pub trait SharedStore: Send + Sync {
    /// Reads the newest record of every key.
    fn newest<'a>(&'a self, topic: &'a str) -> BoxFuture<'a, ReadOutcome>;

    /// Reads records from an offset on, waiting up to `wait` while there are none.
    fn read<'a>(&'a self, topic: &'a str, from: u64, wait: Duration) -> BoxFuture<'a, ReadOutcome>;

    /// Appends a record if the topic ends at `end`.
    fn append<'a>(
        &'a self,
        topic: &'a str,
        end: u64,
        record: &'a KeyedRecord,
    ) -> BoxFuture<'a, AppendOutcome>;
}
