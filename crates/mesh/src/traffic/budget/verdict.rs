//! The answer to a holder that wants to hold more.

use super::HolderId;

/// Says whether a holder may hold what it asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Whether it may.
    pub is_granted: bool,
    /// The holders that have to give up what they hold, for this one.
    pub evicted: Vec<HolderId>,
}
