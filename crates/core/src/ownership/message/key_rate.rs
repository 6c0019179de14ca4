//! The request rate of one key.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::KeyHash;

/// Gives the request rate of one key of the reporting node's service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyRate {
    /// The key.
    pub key: KeyHash,
    /// Requests per second.
    pub rate: u32,
}
