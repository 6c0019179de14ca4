//! Traffic counters of the datagrams between nodes.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::meters::ThreadMeter;

/// Counts datagrams and their bytes since the node started.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Bytes sent.
    pub bytes_out: AtomicU64,
    /// Bytes received.
    pub bytes_in: AtomicU64,
    /// Datagrams sent.
    pub sent: AtomicU64,
    /// Datagrams received.
    pub received: AtomicU64,
    /// Received datagrams dropped because of a bad version, signature or body, or a full inbox.
    pub refused: AtomicU64,
    /// The processor time of the receiving thread.
    pub receiver: ThreadMeter,
}

impl LinkCounters {
    /// Counts one sent datagram.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts one received datagram.
    pub fn count_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts one received datagram that was dropped.
    pub fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
}
