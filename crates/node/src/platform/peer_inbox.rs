//! Receives messages of other nodes.

use std::net::SocketAddr;

use quetzalrack_core::ownership::PeerMessage;

/// Receives authenticated messages of other nodes. It drops messages, as the network may, while the
/// control thread lags behind.
pub trait PeerInbox: Send + Sync {
    /// Queues one message and returns whether there was space for it.
    fn deliver(&self, from: SocketAddr, message: PeerMessage) -> bool;
}
