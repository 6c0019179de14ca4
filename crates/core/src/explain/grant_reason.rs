//! Why a slice was granted.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why the controller granted a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantReason {
    /// Nobody had held it under this controller.
    Unowned,
    /// Its holder released it for a move.
    Moved,
    /// Its holder released it without a handover.
    GivenBack,
    /// Its holder was silent for longer than its lease.
    HolderSilent,
    /// Nobody reported it to the new controller within two lease times.
    Unreported,
}

impl fmt::Display for GrantReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Unowned => "unowned",
            Self::Moved => "moved",
            Self::GivenBack => "given_back",
            Self::HolderSilent => "holder_silent",
            Self::Unreported => "unreported",
        })
    }
}
