//! View of the backend server beside the node for the traffic thread.

use std::net::SocketAddr;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::HeldRange;
use quetzalrack_mesh::model::ServerIncarnation;

/// Describes the backend server beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// The server and its incarnation.
    pub incarnation: ServerIncarnation,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Number of requests that it executes at once.
    pub slots: usize,
    /// Whether it has announced its shutdown.
    pub draining: bool,
    /// Whether it had been running for a while when this process first heard it.
    pub ran_before: bool,
    /// When its latest heartbeat was received.
    pub heartbeat_at: Moment,
    /// End of its cold start.
    pub cold_until: Moment,
    /// Key ranges that it holds, each with the end of its grant.
    pub serving: Vec<(HeldRange, Moment)>,
}

impl ServerView {
    /// Returns whether the server holds a key now.
    pub fn holds(&self, now: Moment, key: u16) -> bool {
        let mut serving = self.serving.iter();
        serving.any(|(held, until)| held.keys.contains(key) && now < *until)
    }
}
