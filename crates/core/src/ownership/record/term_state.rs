//! A term that won, and what its controllers need to know of earlier terms.

use serde::Deserialize;
use serde::Serialize;

use super::Claim;
use crate::cluster::Member;
use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::ids::Rank;
use crate::ids::Term;
use crate::ownership::Ballot;
use crate::time::Milliseconds;

/// A term whose claim won in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TermState {
    /// The winning claim.
    pub claim: Claim,
    /// The voter sets of all terms from the last established one to the one before this.
    #[serde(rename = "earlier")]
    pub earlier_voters: Vec<Vec<NodeName>>,
    /// How long an unreported slice stays ungranted. It covers the longest lease times of this term
    /// and of the earlier terms whose controllers may still assume authority.
    #[serde(rename = "wait")]
    pub unreported_wait: Milliseconds,
    /// Whether a controller of this term has reached a majority in all these voter sets.
    pub established: bool,
}

impl TermState {
    /// Returns the term's number.
    pub fn term(&self) -> Term {
        self.claim.term
    }

    /// Returns the controller or deputy of a rank.
    pub fn member_at(&self, rank: Rank) -> Option<&Member> {
        self.claim.controllers.get(rank.0 as usize)
    }

    /// Returns the rank of one incarnation of a node in this term.
    pub fn rank_of(&self, node: &NodeName, incarnation: Incarnation) -> Option<Rank> {
        let is_named = |member: &Member| member.node == *node && member.incarnation == incarnation;
        let position = self.claim.controllers.iter().position(is_named)?;
        u32::try_from(position).ok().map(Rank)
    }

    /// Returns the ballot of a rank.
    pub fn ballot(&self, rank: Rank) -> Ballot {
        Ballot {
            term: self.claim.term,
            rank,
        }
    }

    /// Returns the names of this term's voters.
    pub fn voter_names(&self) -> Vec<NodeName> {
        let name = |member: &Member| member.node.clone();
        self.claim.voters.iter().map(name).collect()
    }

    /// Returns every voter set in which a controller of this term needs a majority.
    pub fn voter_sets(&self) -> Vec<Vec<NodeName>> {
        let own = self.voter_names();
        if self.established {
            return vec![own];
        }
        let mut sets = self.earlier_voters.clone();
        sets.push(own);
        sets.dedup();
        sets
    }

    /// Returns how long an unreported slice waits in the next term for what was granted under this
    /// one.
    pub fn successor_wait(&self) -> Milliseconds {
        if self.established {
            return self.claim.times.unreported_wait();
        }
        self.unreported_wait
    }

    /// Returns whether no controller can have preceded those of this term.
    pub fn is_first(&self) -> bool {
        self.claim.term == Term(1)
    }
}
