//! What operators are told of an order.

use serde::Deserialize;
use serde::Serialize;

use super::Order;
use super::OrderBody;
use crate::ids::OperatorName;
use crate::ids::RecordId;
use crate::ids::Version;
use crate::time::WallTime;

/// Says who did what, when and why, and which version came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderSummary {
    /// The version that the order made.
    pub version: Version,
    /// The record's identity.
    pub id: RecordId,
    /// Who gave it.
    pub operator: OperatorName,
    /// Why.
    pub why: String,
    /// When, on the operator's calendar clock.
    pub at: WallTime,
    /// The order.
    pub order: Order,
}

impl From<&OrderBody> for OrderSummary {
    fn from(body: &OrderBody) -> Self {
        Self {
            version: body.base.next(),
            id: body.id,
            operator: body.operator.clone(),
            why: body.why.clone(),
            at: body.at,
            order: body.order.clone(),
        }
    }
}
