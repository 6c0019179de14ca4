//! Whether a request may run more than once.

use serde::Deserialize;
use serde::Serialize;

/// Says whether a route's requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum WorkKind {
    /// They may.
    Idempotent,
    /// Each may run once at most.
    Once,
}

impl WorkKind {
    /// Tells whether a request may be sent again although it may have run.
    pub fn is_repeatable(self) -> bool {
        self == Self::Idempotent
    }
}
