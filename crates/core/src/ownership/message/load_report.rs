//! The load of a node.

use serde::Deserialize;
use serde::Serialize;

use super::KeyRate;
use crate::cluster::ServerState;
use crate::ids::SlotCount;

/// Summarises the counts of a node's traffic threads.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The current limit of concurrent requests.
    pub limit: SlotCount,
    /// Requests in flight.
    pub in_flight: SlotCount,
    /// The recent median latency in microseconds.
    pub latency_us: u32,
    /// The backend server's state, as judged by this node.
    pub state: ServerState,
    /// Requests per second of each held grant, in the order of `Heartbeat::held`.
    pub rates: Vec<u32>,
    /// The keys with the highest request rates.
    pub keys: Vec<KeyRate>,
}
