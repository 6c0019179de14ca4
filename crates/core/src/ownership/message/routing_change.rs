//! One change of the routing table.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::RoutingNode;
use crate::cluster::ServerState;
use crate::ids::KeyHash;
use crate::ids::ServiceName;
use crate::ids::SliceIndex;
use crate::ids::SlotCount;

/// Changes one entry of the routing table. Nodes and services are named by numbers that the
/// controller gives in the same sequence of changes, which keeps a change to a few bytes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RoutingChange {
    /// A node is new or changed.
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
        /// The backend server's condition.
        state: ServerState,
        /// The current limit.
        limit: SlotCount,
        /// Requests in flight.
        in_flight: SlotCount,
        /// The recent median latency in microseconds.
        latency_us: u32,
    },
    /// A node is gone.
    NodeRemoved {
        /// The node's number.
        number: u32,
    },
    /// A service is new or its count of slices changed.
    ServiceUpdated {
        /// The service's number.
        number: u32,
        /// The service.
        name: ServiceName,
        /// How many slices its keys are spread over.
        count: u32,
    },
    /// A service is gone.
    ServiceRemoved {
        /// The service's number.
        number: u32,
    },
    /// A slice has a holder.
    OwnerSet {
        /// The service's number.
        service: u32,
        /// The slice.
        index: SliceIndex,
        /// The holder's number.
        owner: u32,
    },
    /// A slice has no holder.
    OwnerCleared {
        /// The service's number.
        service: u32,
        /// The slice.
        index: SliceIndex,
    },
    /// A key became a slice of its own.
    KeySplit {
        /// The service's number.
        service: u32,
        /// The key.
        key: KeyHash,
        /// Its slice.
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
