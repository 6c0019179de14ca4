//! One run of a process.

use super::macros::number_id;

number_id! {
    /// Identifies one run of a process; a later run has a higher number.
    Incarnation, u64
}
