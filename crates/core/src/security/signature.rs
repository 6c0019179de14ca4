//! The proof that a message was made by the holder of a key.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// An HMAC-SHA-256 with the id of the key that made it.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Signature {
    /// The id of the key.
    pub key: String,
    /// The code; hexadecimal in text formats, plain bytes in binary ones.
    #[serde(
        serialize_with = "serialize_code",
        deserialize_with = "deserialize_code"
    )]
    pub code: [u8; Signature::BYTES],
}

impl Signature {
    /// The length of the code, in bytes.
    pub const BYTES: usize = 32;
}

impl fmt::Debug for Signature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Signature({}:{})", self.key, hex::encode(self.code))
    }
}

fn serialize_code<S>(code: &[u8; Signature::BYTES], serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    if serializer.is_human_readable() {
        return serializer.serialize_str(&hex::encode(code));
    }
    code.serialize(serializer)
}

fn deserialize_code<'de, D>(deserializer: D) -> Result<[u8; Signature::BYTES], D::Error>
where
    D: Deserializer<'de>,
{
    if !deserializer.is_human_readable() {
        return Deserialize::deserialize(deserializer);
    }
    let text = String::deserialize(deserializer)?;
    let mut code = [0; Signature::BYTES];
    hex::decode_to_slice(text, &mut code).map_err(D::Error::custom)?;
    Ok(code)
}
