//! The platform's log service.

use std::time::Duration;

use super::AppendOutcome;
use super::BoxFuture;
use super::ReadOutcome;
use super::Stream;
use crate::ids::Offset;

/// Accesses the platform's append-only log, the only persistent storage.
pub trait LogService: Send + Sync {
    /// Appends one record, JSON text, to a stream.
    fn append<'a>(&'a self, stream: &'a Stream, data: Vec<u8>) -> BoxFuture<'a, AppendOutcome>;

    /// Reads records from `from` on, waiting up to `wait` if there are none.
    fn read<'a>(
        &'a self,
        stream: &'a Stream,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, ReadOutcome>;
}
