//! Where a node listens.

use std::net::SocketAddr;

/// Says where a node listens for everyone but other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For clients on the host, and for the calls of its backend server.
    pub clients: SocketAddr,
    /// For the platform's question whether clients may be sent here.
    pub readiness: SocketAddr,
    /// For the heartbeats of the host's backend server.
    pub heartbeats: SocketAddr,
}
