//! The rank of a deputy within a term.

use super::macros::number_id;

number_id! {
    /// Ranks the controllers of a term: 0 is the one that claimed the term, its deputies follow in
    /// the order of the claim.
    Rank, u32
}
