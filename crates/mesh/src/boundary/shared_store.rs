//! The platform's metadata store.

use std::time::Duration;

use quetzalrack_core::boundary::BoxFuture;

use super::AppendOutcome;
use super::KeyedRecord;
use super::ReadOutcome;

/// Access to topics of the platform's metadata store that keep the newest value of each key.
///
/// Operations are linearizable and acknowledged records are durable. The store can be slow, or
/// unreachable for some or all callers, and a response can be lost after the call took effect.
pub trait SharedStore: Send + Sync {
    /// Reads the newest record of every key.
    fn newest<'a>(&'a self, topic: &'a str) -> BoxFuture<'a, ReadOutcome>;

    /// Reads records from an offset on, and waits up to `wait` if there are none.
    fn read<'a>(&'a self, topic: &'a str, from: u64, wait: Duration) -> BoxFuture<'a, ReadOutcome>;

    /// Appends a record if the topic ends at `end`.
    fn append<'a>(
        &'a self,
        topic: &'a str,
        end: u64,
        record: &'a KeyedRecord,
    ) -> BoxFuture<'a, AppendOutcome>;
}
