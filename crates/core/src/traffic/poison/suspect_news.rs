//! The message by which nodes tell each other of suspected contents.

use serde::Deserialize;
use serde::Serialize;

use super::SuspectRecord;
use crate::ids::NodeName;

/// What a node knows of some contents.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectNews {
    /// The contents.
    pub records: Vec<SuspectRecord>,
    /// The nodes to which the receiver passes this on.
    pub relay: Vec<NodeName>,
    /// Whether the sender had time to learn what others know.
    pub informed: bool,
}
