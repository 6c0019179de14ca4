//! A backend server that may get keys.

use crate::ownership::KeyLoad;

/// Describes a server for the choice of its keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// How many keys it has.
    pub keys: u32,
    /// How many requests it works on at once.
    pub slots: u32,
    /// Whether it is cold.
    pub cold: bool,
    /// How full it was over the last seconds: requests that run or wait, as a share of its slots.
    pub fill: f64,
    /// The load of its keys, in the order of the keys.
    pub key_loads: Vec<KeyLoad>,
}
