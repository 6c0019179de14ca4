//! A claim of a term.

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
    /// The term that this one follows; `None` if the writer found no term in the whole retained
    /// log.
    #[serde(rename = "base")]
    pub predecessor: Option<Term>,
    /// The offset at which the writer would have continued to read.
    #[serde(rename = "through")]
    pub next_offset: Offset,
    /// The controller followed by its deputies, in order of rank, each with its incarnation.
    #[serde(rename = "line")]
    pub controllers: Vec<Member>,
    /// The voters, an odd number, each with the incarnation known to the writer.
    pub voters: Vec<Member>,
    /// Every node known to the writer.
    pub members: Vec<Member>,
    /// The slice counts of all services that were in use before.
    #[serde(default)]
    pub divisions: Vec<Division>,
    /// The lease times of the term.
    pub times: LeaseTimes,
}
