//! Control calls to the backend server beside the node.

use super::BoxFuture;
use super::GrantOrder;
use super::GrantOutcome;

/// Passes grants to the backend server beside this node.
pub trait BackendControl: Send + Sync {
    /// Passes one grant.
    fn grant<'a>(&'a self, order: &'a GrantOrder) -> BoxFuture<'a, GrantOutcome>;
}
