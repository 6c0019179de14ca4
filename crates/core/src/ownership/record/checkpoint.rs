//! A copy of the replayed state.

use serde::Deserialize;
use serde::Serialize;

use super::TermState;
use crate::ids::Offset;

/// Repeats the term in force, so that retention may take the claim itself. It never changes what
/// a reader already knows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The state is that of all records before this offset.
    #[serde(rename = "through")]
    pub next_offset: Offset,
    /// The term in force there.
    pub term: TermState,
}
