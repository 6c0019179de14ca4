//! A header of a stored response.

use serde::Deserialize;
use serde::Serialize;

/// A header of a stored response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredHeader {
    /// Its name.
    pub name: String,
    /// Its value, as sent.
    pub value: Vec<u8>,
}
