//! What became of an order.

use quetzalrack_core::ids::RecordId;
use quetzalrack_core::intent::OrderSummary;
use quetzalrack_core::intent::Rejection;

/// Is the truth about an order, as every node reads it, or that it can't be learned now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It took effect.
    Accepted(OrderSummary),
    /// It had no effect.
    Rejected(Rejection),
    /// It may stand in the log or not; the same order can be given again and counts once.
    Unknown(RecordId),
}
