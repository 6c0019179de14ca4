//! A header of a kept answer.

use serde::Deserialize;
use serde::Serialize;

/// Is one header of a kept answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredHeader {
    /// Its name.
    pub name: String,
    /// Its value, as sent.
    pub value: Vec<u8>,
}
