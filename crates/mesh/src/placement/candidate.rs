//! Backend servers to which keys may be assigned.

use crate::ownership::KeyLoad;

/// A backend server as input for placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Candidate {
    /// The number of keys that it holds.
    pub keys: u32,
    /// The number of ranges that these keys form.
    pub ranges: usize,
    /// The number of requests that it processes at once.
    pub slots: u32,
    /// Whether it is cold.
    pub cold: bool,
    /// The demand for its keys as a share of its capacity; above one, some requests are refused.
    pub load: f64,
    /// The phase of its heartbeats, as a fraction of their interval.
    pub heartbeat_phase: f64,
    /// The number of its slots that it needs for the work of one slot of a server of usual speed.
    pub slowness: f64,
    /// The load of its keys, in the order of the keys, without those that must not move yet.
    pub key_loads: Vec<KeyLoad>,
}
