//! Addresses on which a node listens.

use std::net::SocketAddr;

/// The addresses on which a node listens, except those for its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For clients on the host and for calls of its backend server.
    pub clients: SocketAddr,
    /// For the platform's readiness probe.
    pub readiness: SocketAddr,
    /// For the heartbeats of the host's backend server.
    pub heartbeats: SocketAddr,
}
