//! The network between nodes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::OpenLink;
use super::PeerInbox;

/// Binds a node's heartbeat address; benchmarks may supply their own network.
pub trait PeerNetwork: Send + Sync {
    /// Binds `address` (port zero: any free port) and delivers received messages to `inbox`.
    fn open(&self, address: SocketAddr, inbox: Arc<dyn PeerInbox>) -> io::Result<OpenLink>;
}
