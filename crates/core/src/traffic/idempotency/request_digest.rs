//! The digest of a request with an idempotency key.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Distinguishes different requests that use the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Computes the digest of the method, the path with its query, and the body.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
