//! A term that won, with what its controllers must know of earlier ones.

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

/// Is a term that won its place in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TermState {
    /// The winning claim.
    pub claim: Claim,
    /// The voter sets of the terms from the last established one up to the one before.
    #[serde(rename = "earlier")]
    pub earlier_voters: Vec<Vec<NodeName>>,
    /// How long a slice waits that nobody reports, by the longest times of this and the earlier
    /// terms whose controllers may still believe.
    #[serde(rename = "wait")]
    pub unreported_wait: Milliseconds,
    /// Whether a controller of this term reached its majority in all of them.
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

    /// Returns the rank of one life of a node in this term's line.
    pub fn rank_of(&self, node: &NodeName, life: Incarnation) -> Option<Rank> {
        let at = |member: &Member| member.node == *node && member.incarnation == life;
        let place = self.claim.controllers.iter().position(at)?;
        u32::try_from(place).ok().map(Rank)
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

    /// Returns how long the next term waits for what was granted under this one.
    pub fn successor_wait(&self) -> Milliseconds {
        if self.established {
            return self.claim.times.unreported_wait();
        }
        self.unreported_wait
    }

    /// Tells whether no controller can have been before this term's.
    pub fn is_first(&self) -> bool {
        self.claim.term == Term(1)
    }
}
