//! What operators ask of nodes.

use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::cluster::RoutingTable;
use quetzalrack_core::explain::Explanation;
use quetzalrack_wire::status::NodeStatus;

use super::NodeError;

/// Asks nodes by their admin addresses, `http://IP:PORT`.
pub trait NodeAccess: Send + Sync {
    /// Reads what a node does and has in force.
    fn status<'a>(&'a self, node: &'a str) -> BoxFuture<'a, Result<NodeStatus, NodeError>>;

    /// Reads where a node sends requests.
    fn routing<'a>(&'a self, node: &'a str) -> BoxFuture<'a, Result<RoutingTable, NodeError>>;

    /// Reads what a node did and why, the entries that mention a text.
    fn explanations<'a>(
        &'a self,
        node: &'a str,
        text: &'a str,
    ) -> BoxFuture<'a, Result<Vec<Explanation>, NodeError>>;
}
