//! Telling other nodes of requests under which backend servers end.

use std::net::SocketAddr;

use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::traffic::poison::SuspectNews;

/// Exchanges news of suspected requests with other nodes. Implemented by the calls between nodes and used by the
/// traffic threads.
pub trait SuspectLink: Send + Sync {
    /// Tells a node; returns whether it confirmed that.
    fn tell<'a>(&'a self, to: &'a Member, news: SuspectNews) -> BoxFuture<'a, bool>;

    /// Asks the node that takes calls at an address for everything it knows; none if it does not answer.
    fn ask(&self, address: SocketAddr) -> BoxFuture<'_, Option<SuspectNews>>;
}
