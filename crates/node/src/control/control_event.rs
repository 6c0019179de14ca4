//! Inputs of the control thread.

use std::net::SocketAddr;

use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::intent::IntentSnapshot;
use quetzalrack_core::ownership::OwnershipEvent;
use quetzalrack_core::ownership::PeerMessage;

/// One input of the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A read of the intent stream ended.
    IntentRead(ReadOutcome),
    /// A read of the control stream ended.
    ControlRead(ReadOutcome),
    /// An authenticated datagram of a peer arrived.
    Message {
        /// The sender's heartbeat address.
        from: SocketAddr,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// The backend server beside this node announced itself.
    Announced(Box<Announcement>),
    /// The result of an action that the ownership state machine requested.
    Ownership(Box<OwnershipEvent>),
    /// A peer sent newer intent.
    SnapshotFound(Box<IntentSnapshot>),
    /// The node and operator keys were replaced.
    KeysChanged,
    /// A graceful shutdown of the process was requested.
    ShutdownRequested,
    /// The node is being dropped; the thread exits.
    Stop,
}
