//! The question for newer intent.

use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::Stage;
use serde::Deserialize;
use serde::Serialize;

/// Asks for a snapshot of the intent when the asked node has a higher version than the asker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentQuery {
    /// The environment.
    pub environment: EnvironmentName,
    /// The stage whose versions are compared.
    pub stage: Stage,
    /// The asker's version.
    pub version: Version,
}
