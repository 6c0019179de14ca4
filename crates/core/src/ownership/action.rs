//! The outputs of the ownership state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use super::PeerMessage;
use crate::cluster::LeaseTable;
use crate::cluster::Member;
use crate::cluster::RoutingTable;
use crate::explain::Happening;
use crate::ids::Fence;
use crate::ids::RecordId;
use crate::ids::SliceId;

/// An action that the ownership state machine asks the node to perform.
#[derive(Clone, Debug)]
pub enum OwnershipAction {
    /// Append a record to the control stream; completed by `AppendFinished`.
    Append {
        /// The record's identity.
        id: RecordId,
        /// The record's JSON text.
        data: Vec<u8>,
    },
    /// Send a datagram.
    Send {
        /// The receiver's heartbeat address.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Prepare the traffic threads for a slice, with the idempotency state that was handed over or
    /// an empty one, then pass the grant to the backend server; completed by `GrantAnswered`.
    GrantServer {
        /// The slice.
        slice: SliceId,
        /// The grant's fence.
        fence: Fence,
        /// The fence of the grant that was released in favour of this one and whose idempotency
        /// state was handed over.
        previous: Option<Fence>,
    },
    /// Stop admitting requests for a slice, finish those in flight and hand the idempotency state
    /// to the successor; completed by `SliceDrained`.
    DrainSlice {
        /// The slice.
        slice: SliceId,
        /// The grant's fence.
        fence: Fence,
        /// The node that gets the slice next, if one is chosen.
        successor: Option<Member>,
    },
    /// Make the traffic threads discard a slice whose lease ended without a handover.
    ForgetSlice {
        /// The slice.
        slice: SliceId,
        /// The grant's fence.
        fence: Fence,
    },
    /// Publish the leases that this node holds.
    PublishLeases(Arc<LeaseTable>),
    /// Publish a newer routing table.
    PublishRouting(Arc<RoutingTable>),
    /// Record an event with its reason, for operators.
    Explain(Happening),
    /// Every slice is released; the process may exit once its requests are finished.
    ShutdownComplete,
}
