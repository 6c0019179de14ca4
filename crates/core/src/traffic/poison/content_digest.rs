//! The digest of what a request asks for.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// The length of a digest: half of a SHA-256, so that nobody can make a request with the digest of
/// another's.
const DIGEST_BYTES: usize = 16;

/// Tells requests apart by what they ask for, whatever their ids, deadlines and hosts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ContentDigest([u8; DIGEST_BYTES]);

impl ContentDigest {
    /// Computes the digest of the parts of a request, in their order.
    pub fn of<'a, P>(parts: P) -> Self
    where
        P: IntoIterator<Item = &'a [u8]>,
    {
        let mut hash = Sha256::new();
        for part in parts {
            add_part(&mut hash, part.len(), [part]);
        }
        Self::finish(hash)
    }

    /// Computes the digest of parts and a last one of `length` bytes, which is held in blocks. It is the same as
    /// with that part in one piece.
    pub fn with_blocks<'a, P, B>(parts: P, length: usize, blocks: B) -> Self
    where
        P: IntoIterator<Item = &'a [u8]>,
        B: IntoIterator<Item = &'a [u8]>,
    {
        let mut hash = Sha256::new();
        for part in parts {
            add_part(&mut hash, part.len(), [part]);
        }
        add_part(&mut hash, length, blocks);
        Self::finish(hash)
    }

    fn finish(hash: Sha256) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(digest)
    }

    /// Returns the first eight bytes as a number.
    pub(super) fn leading_word(&self) -> u64 {
        let mut word = [0; 8];
        word.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(word)
    }
}

fn add_part<'a, B>(hash: &mut Sha256, length: usize, blocks: B)
where
    B: IntoIterator<Item = &'a [u8]>,
{
    hash.update((length as u64).to_be_bytes());
    for block in blocks {
        hash.update(block);
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&hex::encode(self.0))
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ContentDigest({self})")
    }
}

impl FromStr for ContentDigest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut digest)?;
        Ok(Self(digest))
    }
}
