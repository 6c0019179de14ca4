//! The version of accepted intent.

use super::macros::number_id;

number_id! {
    /// Counts accepted intent records; a reader never goes back to a lower one.
    Version, u64
}
