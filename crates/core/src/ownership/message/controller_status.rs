//! The answer to an inquiry.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Rank;
use crate::ownership::record::TermState;

/// Says which controller the sender follows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ControllerStatus {
    /// The controller's rank.
    pub rank: Rank,
    /// Its term.
    pub term: TermState,
}
