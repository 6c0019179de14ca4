//! Changes of ownership of one service.

use serde::Serialize;

/// Adds up what happened to the slices of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ServiceMoves {
    /// Grants.
    pub granted: u64,
    /// Graceful releases.
    pub released: u64,
    /// Lapses.
    pub lapsed: u64,
    /// Time without a known holder, summed over slices, in milliseconds.
    pub unavailable_ms: u64,
}
