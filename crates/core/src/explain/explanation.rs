//! A recorded event and its time.

use serde::Deserialize;
use serde::Serialize;

use super::Happening;
use crate::time::WallTime;

/// An entry of a node's bounded event history.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Explanation {
    /// When it happened, on the node's calendar clock.
    pub at: WallTime,
    /// What happened and why.
    pub happening: Happening,
}
