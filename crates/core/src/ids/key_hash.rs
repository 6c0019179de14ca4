//! The hash of a key.

use sha2::Digest;
use sha2::Sha256;

use super::SliceIndex;
use super::macros::number_id;

number_id! {
    /// Determines the slice of a key within its service.
    KeyHash, u64
}

impl KeyHash {
    /// Hashes a key's text; every process and every release must agree on the result, so the
    /// function is fixed (the first eight bytes of SHA-256).
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&digest[..size_of::<u64>()]);
        Self(u64::from_be_bytes(first))
    }

    /// Returns the slice of this key among `count` slices.
    pub fn slice_among(self, count: u32) -> SliceIndex {
        let scaled = (u128::from(self.0) * u128::from(count)) >> u64::BITS;
        SliceIndex(scaled as u32)
    }
}
