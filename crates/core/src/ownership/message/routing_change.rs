//! One change of the routing table.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::RoutingNode;
use crate::cluster::ServerState;
use crate::ids::KeyHash;
use crate::ids::ServiceName;
use crate::ids::SliceIndex;
use crate::ids::SlotCount;

/// Changes one entry of the routing table. Changes refer to nodes and services by numbers that the
/// controller assigns in the same sequence of changes, which keeps a change to a few bytes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RoutingChange {
    /// A node was added or changed.
    NodeUpdated {
        /// The node's number.
        number: u32,
        /// The node.
        node: Box<RoutingNode>,
    },
    /// A node's load changed.
    LoadUpdated {
        /// The node's number.
        number: u32,
        /// The backend server's state.
        state: ServerState,
        /// The current limit of concurrent requests.
        limit: SlotCount,
        /// Requests in flight.
        in_flight: SlotCount,
        /// The recent median latency in microseconds.
        latency_us: u32,
    },
    /// A node was removed.
    NodeRemoved {
        /// The node's number.
        number: u32,
    },
    /// A service was added or its number of slices changed.
    ServiceUpdated {
        /// The service's number.
        number: u32,
        /// The service.
        name: ServiceName,
        /// The number of slices that its keys are spread over.
        count: u32,
    },
    /// A service was removed.
    ServiceRemoved {
        /// The service's number.
        number: u32,
    },
    /// A slice got a new holder.
    OwnerSet {
        /// The service's number.
        service: u32,
        /// The slice.
        index: SliceIndex,
        /// The holder's node number.
        owner: u32,
    },
    /// A slice lost its holder.
    OwnerCleared {
        /// The service's number.
        service: u32,
        /// The slice.
        index: SliceIndex,
    },
    /// A hot key became a slice of its own.
    KeySplit {
        /// The service's number.
        service: u32,
        /// The key.
        key: KeyHash,
        /// The key's own slice.
        index: SliceIndex,
    },
    /// A key went back to the slice of its hash.
    KeyMerged {
        /// The service's number.
        service: u32,
        /// The key.
        key: KeyHash,
    },
}
