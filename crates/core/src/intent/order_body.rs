//! The signed part of an order.

use serde::Deserialize;
use serde::Serialize;

use super::Order;
use crate::ids::EnvironmentName;
use crate::ids::OperatorName;
use crate::ids::RecordId;
use crate::ids::Version;
use crate::time::WallTime;

/// Is an order with who wants it, why, and what it builds on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderBody {
    /// The record's identity, kept when the append is tried again.
    pub id: RecordId,
    /// The environment; signed, so that an order can't be copied into another one's stream.
    pub environment: EnvironmentName,
    /// The version of the order's stage on which it builds; rejected when another one took it.
    pub base: Version,
    /// Who gave the order.
    pub operator: OperatorName,
    /// Why.
    pub why: String,
    /// When, on the operator's calendar clock.
    pub at: WallTime,
    /// The order.
    pub order: Order,
}

impl OrderBody {
    /// The greatest length of a reason, in bytes.
    pub const MAX_WHY: usize = 1_024;
}
