//! The bounds of the idempotency store.

use std::time::Duration;

/// Bounds what the idempotency store keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencySettings {
    /// How long a key is kept, counted from the time in the key.
    pub retention: Duration,
    /// How many bytes all stored outcomes together may take.
    pub memory_limit: usize,
    /// How large one stored response may be, in bytes.
    pub response_limit: usize,
    /// How far ahead of the node's wall clock the time in a key may be.
    pub max_ahead: Duration,
    /// How far the wall clocks of two nodes may differ.
    pub clock_drift: Duration,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(15 * 60),
            memory_limit: 8 * 1024 * 1024,
            response_limit: 64 * 1024,
            max_ahead: Duration::from_millis(500),
            clock_drift: Duration::from_millis(500),
        }
    }
}
