//! The digest of a document's bytes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// The SHA-256 of a document's exact bytes, by which trial and production refer to the same text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct DocumentDigest([u8; 32]);

impl DocumentDigest {
    /// Digests the document's bytes.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for DocumentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&hex::encode(self.0))
    }
}

impl FromStr for DocumentDigest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for DocumentDigest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<DocumentDigest> for String {
    fn from(digest: DocumentDigest) -> Self {
        digest.to_string()
    }
}
