//! Datagrams between nodes.

use std::net::SocketAddr;

use crate::ownership::PeerMessage;

/// Sends messages to other nodes; they may be lost, duplicated, delayed or reordered.
pub trait PeerLink: Send + Sync {
    /// Sends a message without waiting for its delivery.
    fn send(&self, to: SocketAddr, message: &PeerMessage);
}
