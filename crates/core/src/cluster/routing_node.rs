//! A node's entry in the routing table.

use serde::Deserialize;
use serde::Serialize;

use super::Member;
use super::ServerState;
use crate::ids::SlotCount;

/// Holds a node's addresses and the capacity and load of its backend server, as the node counts
/// them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingNode {
    /// The node's identity and addresses.
    pub member: Member,
    /// Whether new requests may be sent there: neither the zone nor the backend server is out of
    /// service, and the node is not shutting down.
    pub in_service: bool,
    /// The backend server's condition, as the node beside it judges it.
    pub state: ServerState,
    /// The node's current limit of concurrent requests.
    pub limit: SlotCount,
    /// How many are in flight, at the last heartbeat.
    pub in_flight: SlotCount,
    /// The recent median latency of the backend server, in microseconds.
    pub latency_us: u32,
}
