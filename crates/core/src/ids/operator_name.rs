//! The name of an operator.

use super::macros::name_id;

name_id! {
    /// Names the operator who signed an order or a document.
    OperatorName
}
