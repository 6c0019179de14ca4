//! A key that authenticates messages, as it stands in the settings.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A shared key; the first of a list signs, all of them verify, so that keys can be rotated
/// without a restart.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Names the key in messages.
    pub id: String,
    /// The key as hexadecimal text, at least 32 digits.
    pub secret: String,
}

impl fmt::Debug for KeySettings {
    /// Leaves the secret out, so that no log line can show it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeySettings")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}
