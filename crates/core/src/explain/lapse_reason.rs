//! Why a lease ended without a handover.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why a holder stopped serving without a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LapseReason {
    /// It was not renewed in time.
    NotRenewed,
    /// The controller does not recognise it.
    NotRecognised,
    /// A newer grant of the same slice replaced it.
    Replaced,
    /// The backend server beside the node is gone or restarted.
    ServerLost,
}

impl fmt::Display for LapseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::NotRenewed => "not_renewed",
            Self::NotRecognised => "not_recognised",
            Self::Replaced => "replaced",
            Self::ServerLost => "server_lost",
        })
    }
}
