//! Sending a slice's idempotency state to another node.

use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::cluster::Member;

use super::Handover;

/// Sends handovers to other nodes. Implemented by the calls between nodes and used by the traffic
/// threads while they drain a slice.
pub trait HandoverLink: Send + Sync {
    /// Sends one handover and returns whether the other node confirmed it. Always resolves within a
    /// few seconds; without a confirmed handover the successor starts with empty state.
    fn hand_over<'a>(&'a self, to: &'a Member, handover: Handover) -> BoxFuture<'a, bool>;
}
