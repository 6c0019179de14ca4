//! The claim of a term.

use serde::Deserialize;
use serde::Serialize;

use super::Division;
use crate::cluster::Member;
use crate::ids::Offset;
use crate::ids::Term;
use crate::ownership::LeaseTimes;

/// Claims a term. The first claim that follows the term in force wins it, in log order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The claimed term.
    pub term: Term,
    /// The term it follows; none when the writer found no term in the whole retained log.
    #[serde(rename = "base")]
    pub predecessor: Option<Term>,
    /// Where the writer would have read next.
    #[serde(rename = "through")]
    pub next_offset: Offset,
    /// The controller and its deputies in order, each in one named life.
    #[serde(rename = "line")]
    pub controllers: Vec<Member>,
    /// The voters, an odd count, each in the life known to the writer.
    pub voters: Vec<Member>,
    /// Every node known to the writer.
    pub members: Vec<Member>,
    /// Into how many slices each service is divided that was in use before.
    #[serde(default)]
    pub divisions: Vec<Division>,
    /// The times of the term.
    pub times: LeaseTimes,
}
