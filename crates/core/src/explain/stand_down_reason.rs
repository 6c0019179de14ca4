//! Why a controller stood down.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Why a controller stood down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StandDownReason {
    /// A majority of voters did not acknowledge it within the lease time.
    MajorityLost,
    /// A voter follows a higher term or rank.
    Superseded,
    /// It was asked to shut down.
    Leaving,
}

impl fmt::Display for StandDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::MajorityLost => "majority_lost",
            Self::Superseded => "superseded",
            Self::Leaving => "leaving",
        })
    }
}
