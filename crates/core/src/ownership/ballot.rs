//! The total order of controllers.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::Rank;
use crate::ids::Sequence;
use crate::ids::Term;

/// Identifies and orders controllers. A voter that has adopted a ballot never acknowledges a lower
/// one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Ballot {
    /// The term that was claimed in the log.
    pub term: Term,
    /// The position among that term's controller and deputies.
    pub rank: Rank,
}

impl Ballot {
    /// Returns the fence of this controller's grant with the given sequence number.
    pub fn fence(self, sequence: Sequence) -> Fence {
        Fence {
            term: self.term,
            rank: self.rank,
            sequence,
        }
    }
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.rank)
    }
}
