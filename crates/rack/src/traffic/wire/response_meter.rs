//! Bounds on what a peer sends as one response.

use std::cell::Cell;

use tokio::sync::Notify;

/// How many bytes are read at once, and the longest head.
pub(super) const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// How many bytes may arrive without adding to the body: a head, the framing of a body, and what is read ahead.
const MAX_UNUSED_BYTES: usize = 3 * MAX_BUFFER_BYTES;
/// Longest body; it is kept in memory until it is complete.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Counts the bytes that arrive on a connection, to tell a response from bytes that will never be one.
#[derive(Debug, Default)]
pub(super) struct ResponseMeter {
    /// Bytes that arrived since the body last grew.
    unused: Cell<usize>,
    body: Cell<usize>,
    exceeded: Notify,
}

impl ResponseMeter {
    /// Starts the next response.
    pub(super) fn start(&self) {
        self.unused.set(0);
        self.body.set(0);
    }

    /// Records bytes that have arrived.
    pub(super) fn record_read(&self, count: usize) {
        let unused = self.unused.get().saturating_add(count);
        self.unused.set(unused);
        if unused > MAX_UNUSED_BYTES {
            self.exceeded.notify_one();
        }
    }

    /// Records that the body has grown.
    pub(super) fn record_body(&self, count: usize) {
        self.unused.set(0);
        let body = self.body.get().saturating_add(count);
        self.body.set(body);
        if body > MAX_BODY_BYTES {
            self.exceeded.notify_one();
        }
    }

    /// Waits until a bound is exceeded.
    pub(super) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
