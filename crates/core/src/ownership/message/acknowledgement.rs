//! A voter's acknowledgement.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::ownership::Ballot;

/// States that a voter had adopted no higher ballot when it received the message of this round.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The voter.
    pub node: NodeName,
    /// The voter's incarnation.
    pub incarnation: Incarnation,
    /// The ballot that the voter has adopted.
    pub ballot: Ballot,
    /// The round of the acknowledged message.
    pub round: u64,
}
