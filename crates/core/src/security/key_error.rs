//! Why a list of keys is invalid.

/// Why a list of keys is invalid; no variant contains a secret.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum KeyError {
    /// The list has no key to sign or verify with.
    #[error("the list of keys is empty")]
    Empty,
    /// Two keys share an id, so a signature would not say which one made it.
    #[error("the key id {0:?} is used twice")]
    Duplicate(String),
    /// The secret is not hexadecimal text.
    #[error("the secret of key {0:?} is not hexadecimal text")]
    NotHexadecimal(String),
    /// The secret is short enough to be guessed.
    #[error("the secret of key {0:?} has less than {min} bytes", min = KeyError::MIN_BYTES)]
    TooShort(String),
}

impl KeyError {
    /// The least length of a secret, in bytes: 128 bits.
    pub const MIN_BYTES: usize = 16;
}
