//! The fence of a grant.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use super::ParseFenceError;
use super::Rank;
use super::Sequence;
use super::Term;

/// Orders the grants of a slice and identifies each of them; fences only increase, so that a
/// backend server which remembers the highest one refuses every earlier holder.
///
/// Written as `term.rank.sequence`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fence {
    /// The term in which the grant was given.
    pub term: Term,
    /// The rank of the controller that gave it.
    pub rank: Rank,
    /// The grant's place among that controller's grants.
    pub sequence: Sequence,
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.term, self.rank, self.sequence)
    }
}

impl FromStr for Fence {
    type Err = ParseFenceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '.');
        let mut part = || parts.next().ok_or(ParseFenceError);
        let (term, rank, sequence) = (part()?, part()?, part()?);
        Ok(Self {
            term: term.parse().map_err(|_| ParseFenceError)?,
            rank: rank.parse().map_err(|_| ParseFenceError)?,
            sequence: sequence.parse().map_err(|_| ParseFenceError)?,
        })
    }
}
