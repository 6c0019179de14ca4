//! The keys that sign and verify.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use super::KeyError;
use super::KeySettings;
use super::Signature;

type Code = Hmac<Sha256>;

/// Signs with its first key and verifies with any, so that a key is replaced in three steps, each
/// at every process before the next: add the new key last, move it to the front, drop the old one.
#[derive(Clone)]
pub struct KeyRing {
    keys: Vec<RingKey>,
}

#[derive(Clone)]
struct RingKey {
    id: String,
    code: Code,
}

impl KeyRing {
    /// Opens a ring from settings; fails on an empty list, a duplicate id or a short secret.
    pub fn open(settings: &[KeySettings]) -> Result<Self, KeyError> {
        let mut keys: Vec<RingKey> = Vec::with_capacity(settings.len());
        for key in settings {
            if keys.iter().any(|known| known.id == key.id) {
                return Err(KeyError::Duplicate(key.id.clone()));
            }
            keys.push(open_key(key)?);
        }
        if keys.is_empty() {
            return Err(KeyError::Empty);
        }
        Ok(Self { keys })
    }

    /// Tells whether a key of this id is in the ring.
    pub fn has(&self, id: &str) -> bool {
        self.keys.iter().any(|key| key.id == id)
    }

    /// Signs a message with the first key.
    pub fn sign(&self, message: &[u8]) -> Signature {
        // `open` refuses an empty list, so there is a first key.
        let key = &self.keys[0];
        Signature {
            key: key.id.clone(),
            code: key
                .code
                .clone()
                .chain_update(message)
                .finalize()
                .into_bytes()
                .into(),
        }
    }

    /// Tells whether one of the keys signed this message; takes the same time wherever a wrong
    /// code differs, so that an attacker can't find a valid code byte by byte.
    #[must_use]
    pub fn verify(&self, message: &[u8], signature: &Signature) -> bool {
        let Some(key) = self.keys.iter().find(|key| key.id == signature.key) else {
            return false;
        };
        key.code
            .clone()
            .chain_update(message)
            .verify_slice(&signature.code)
            .is_ok()
    }
}

impl fmt::Debug for KeyRing {
    /// Shows the ids alone, so that no log line can show a secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.keys.iter().map(|key| &key.id))
            .finish()
    }
}

fn open_key(settings: &KeySettings) -> Result<RingKey, KeyError> {
    let secret =
        hex::decode(&settings.secret).map_err(|_| KeyError::NotHexadecimal(settings.id.clone()))?;
    if secret.len() < KeyError::MIN_BYTES {
        return Err(KeyError::TooShort(settings.id.clone()));
    }
    let code =
        Code::new_from_slice(&secret).map_err(|_| KeyError::TooShort(settings.id.clone()))?;
    Ok(RingKey {
        id: settings.id.clone(),
        code,
    })
}
