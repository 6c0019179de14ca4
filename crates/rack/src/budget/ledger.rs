//! What was given back and isn't booked yet.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use quetzalrack_mesh::traffic::budget::Kind;

/// Collects the bytes that charges give back. The HTTP library may drop a part of a body where the budget itself
/// can't be reached.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    released: [AtomicU64; Kind::ALL.len()],
}

impl Ledger {
    /// Records bytes that are no longer held.
    pub(super) fn release(&self, kind: Kind, bytes: u64) {
        if let Some(released) = self.released.get(kind.index()) {
            released.fetch_add(bytes, Ordering::Relaxed);
        }
    }

    /// Returns what was recorded since the last call.
    pub(super) fn take(&self, kind: Kind) -> u64 {
        let released = self.released.get(kind.index());
        released.map_or(0, |released| released.swap(0, Ordering::Relaxed))
    }
}
