//! Why a slice moves.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why the controller moves a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The holder's availability zone or backend server is out of service.
    OutOfService,
    /// The holder was asked to shut down, or its backend server is draining.
    Leaving,
    /// The document no longer includes the slice.
    Withdrawn,
    /// Another node holds less than its share.
    Share,
    /// The measured load is uneven.
    Load,
}

impl fmt::Display for MoveReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::OutOfService => "out_of_service",
            Self::Leaving => "leaving",
            Self::Withdrawn => "withdrawn",
            Self::Share => "share",
            Self::Load => "load",
        })
    }
}
