//! The content of a control record.

use serde::Deserialize;
use serde::Serialize;

use super::Checkpoint;
use super::Claim;
use crate::cluster::Member;
use crate::ids::Term;

/// The content of one record of the control stream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlBody {
    /// A node that no controller answers announces itself.
    Join(Member),
    /// A node claims the next term; the first in log order wins.
    Claim(Claim),
    /// A controller of this term has reached a majority in every voter set since the last such
    /// record.
    Established(Term),
    /// The controller repeats the state for readers whose offset has expired.
    Checkpoint(Checkpoint),
}
