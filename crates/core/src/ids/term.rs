//! The number of a controller's term.

use super::macros::number_id;

number_id! {
    /// Counts the controllers claimed through the log; the first claim of a number wins it.
    Term, u64
}
