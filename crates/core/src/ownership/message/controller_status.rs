//! The reply to a controller query.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Rank;
use crate::ownership::record::TermState;

/// Tells which controller the sender follows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ControllerStatus {
    /// The controller's rank.
    pub rank: Rank,
    /// The controller's term.
    pub term: TermState,
}
