//! A backend server that may get keys.

use crate::ownership::KeyLoad;
use crate::ownership::NodeLoad;

/// Describes a server for the choice of its keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// How many keys it has.
    pub keys: u32,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it is cold.
    pub cold: bool,
    /// Its load.
    pub load: NodeLoad,
    /// The load of its keys, in the order of the keys.
    pub key_loads: Vec<KeyLoad>,
}
