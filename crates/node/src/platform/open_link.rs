//! An open link to the other nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use quetzalrack_core::boundary::PeerLink;

use super::LinkCounters;

/// A bound heartbeat address with its sending side. Receiving stops once the last reference to
/// `link` is dropped.
pub struct OpenLink {
    /// The bound address.
    pub address: SocketAddr,
    /// Sends datagrams to other nodes.
    pub link: Arc<dyn PeerLink>,
    /// Counts the datagrams.
    pub counters: Arc<LinkCounters>,
}
