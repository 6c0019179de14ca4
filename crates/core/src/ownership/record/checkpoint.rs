//! A checkpoint of the replayed control stream.

use serde::Deserialize;
use serde::Serialize;

use super::TermState;
use crate::ids::Offset;

/// Repeats the term in force, so that retention may expire the claim itself. It never changes the
/// state of a reader that already has one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The offset before which all records are included in the state.
    #[serde(rename = "through")]
    pub next_offset: Offset,
    /// The term in force at that offset.
    pub term: TermState,
}
