//! Traffic counters of the log service.

use std::sync::atomic::AtomicU64;

/// Counts bytes exchanged with the log service since the node started, without headers.
#[derive(Debug, Default)]
pub struct LogCounters {
    /// Bytes of appended records.
    pub bytes_out: AtomicU64,
    /// Bytes of response bodies.
    pub bytes_in: AtomicU64,
}
