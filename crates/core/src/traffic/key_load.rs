//! The load of one hot key.

use crate::ids::KeyHash;
use crate::ids::ServiceName;

/// The request rate of one key in the last measurement period.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyLoad {
    /// The key's service.
    pub service: ServiceName,
    /// The key.
    pub key: KeyHash,
    /// Requests per second.
    pub rate: f32,
}
