//! An order that took effect.

use super::OrderBody;
use super::SignedOrder;
use crate::ids::Offset;
use crate::ids::Version;

/// Is an accepted order with its place in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedOrder {
    /// Where it stands in the log.
    pub offset: Offset,
    /// What it says.
    pub body: OrderBody,
    /// The signed text, without the document.
    pub signed: SignedOrder,
}

impl AcceptedOrder {
    /// Returns the version that the order made.
    pub fn version(&self) -> Version {
        self.body.base.next()
    }
}
