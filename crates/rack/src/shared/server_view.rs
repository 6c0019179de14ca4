//! The backend server beside the node, as traffic must know it.

use std::net::SocketAddr;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::HeldRange;
use quetzalrack_mesh::model::ServerIncarnation;

/// Describes the backend server beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Which life of which server.
    pub life: ServerIncarnation,
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests it works on at once.
    pub slots: usize,
    /// Whether it has announced that it will leave.
    pub draining: bool,
    /// When its newest heartbeat was heard.
    pub heard_at: Moment,
    /// Until when it is cold.
    pub cold_until: Moment,
    /// The keys that it holds, each with the end of its grant.
    pub serving: Vec<(HeldRange, Moment)>,
}

impl ServerView {
    /// Tells whether the server holds a key now.
    pub fn holds(&self, now: Moment, key: u16) -> bool {
        let mut serving = self.serving.iter();
        serving.any(|(held, until)| held.keys.contains(key) && now < *until)
    }
}
