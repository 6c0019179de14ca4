//! The identifier of a request in admission control.

use crate::ids::macros::number_id;

number_id! {
    /// Identifies a request that asks for a slot; unique within one incarnation of a node.
    Ticket, u64
}
