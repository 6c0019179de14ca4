//! The version of a routing table.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Rank;
use crate::ids::Term;

/// Orders routing tables; a node never replaces its table with an older one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RoutingVersion {
    /// The term of the controller that built the table.
    pub term: Term,
    /// That controller's rank.
    pub rank: Rank,
    /// Number of the table among that controller's tables.
    pub count: u64,
}

impl fmt::Display for RoutingVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.term, self.rank, self.count)
    }
}
