//! The part of a budget that one kind of holder may use.

use super::holder::SMALL_BYTES;

/// Bounds what the holders of one kind hold together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// How many bytes all of them may hold.
    pub bytes: u64,
    /// How many of these the large ones may use; the rest is for the small ones, which others would crowd out.
    pub large_bytes: u64,
    /// How many of them there may be.
    pub holders: usize,
}

impl Share {
    /// Returns how many bytes all may hold for one of them to hold `bytes`.
    pub(super) fn limit_for(&self, bytes: u64) -> u64 {
        match bytes > SMALL_BYTES {
            true => self.large_bytes,
            false => self.bytes,
        }
    }
}
