//! What the traffic threads count.

use super::KeyLoad;
use super::SliceLoad;
use crate::cluster::ServerState;
use crate::ids::SlotCount;

/// Is what a node's traffic threads counted themselves, as opposed to what the backend server
/// reports; it is exact and current.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficStats {
    /// The current limit of concurrent requests.
    pub limit: SlotCount,
    /// Requests in flight to the backend server.
    pub in_flight: SlotCount,
    /// The recent median latency of the backend server, in microseconds.
    pub latency_us: u32,
    /// The backend server's condition as judged from its answers.
    pub state: ServerState,
    /// Slices by load, those asked for at all.
    pub slices: Vec<SliceLoad>,
    /// The hottest keys, at most a few tens.
    pub keys: Vec<KeyLoad>,
}
