//! An order before it is signed.

use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::Order;

/// Is what an operator wants, on which version it builds, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderDraft {
    /// The order.
    pub order: Order,
    /// The version on which it builds.
    pub base: Version,
    /// Why.
    pub why: String,
    /// The document's text, where the order publishes one.
    pub document: Option<String>,
}
