//! The configuration of the ownership state machine.

use std::net::SocketAddr;

use super::SafetyRules;
use crate::cluster::Member;

/// Configures the ownership state machine of one node. The backend server's name and service in
/// `member` are ignored, because they come with the server's announcement.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// This node, with an incarnation higher than all its earlier ones.
    pub member: Member,
    /// The seed of jitter and record ids, which should differ between nodes.
    pub seed: u64,
    /// Heartbeat addresses of peers, which are asked for the controller while the log is down.
    pub peers: Vec<SocketAddr>,
    /// The safety rules to follow; all of them outside tests.
    pub rules: SafetyRules,
}

impl OwnershipConfig {
    /// Returns the configuration of a node that follows every safety rule and knows no peers.
    pub fn new(member: Member, seed: u64) -> Self {
        Self {
            member,
            seed,
            peers: Vec::new(),
            rules: SafetyRules::default(),
        }
    }
}
