//! The count of grants within a term and rank.

use super::macros::number_id;

number_id! {
    /// Counts the grants of one controller, so that no two of its fences are equal.
    Sequence, u64
}
