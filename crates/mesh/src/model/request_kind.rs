//! Whether a request may run more than once.

use serde::Deserialize;
use serde::Serialize;

/// Whether a route's requests may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RequestKind {
    /// Requests may run more than once.
    Idempotent,
    /// Each request may run at most once.
    Once,
}

impl RequestKind {
    /// Tells whether a request may be sent again although it may have run.
    pub fn is_repeatable(self) -> bool {
        self == Self::Idempotent
    }
}
