//! Statistics of a node's traffic.

use super::KeyLoad;
use super::SliceLoad;
use crate::cluster::ServerState;
use crate::ids::SlotCount;

/// Statistics that a node's traffic threads count themselves. Unlike the backend server's reports,
/// they are exact and current.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficStats {
    /// The current limit of concurrent requests.
    pub limit: SlotCount,
    /// Requests in flight to the backend server.
    pub in_flight: SlotCount,
    /// The recent median latency of the backend server, in microseconds.
    pub latency_us: u32,
    /// The backend server's state as inferred from its responses.
    pub state: ServerState,
    /// The load of every slice with requests.
    pub slices: Vec<SliceLoad>,
    /// The load of the hottest keys, at most a few tens.
    pub keys: Vec<KeyLoad>,
}
