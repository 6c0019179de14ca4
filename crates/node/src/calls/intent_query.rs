//! A query for newer intent.

use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::Stage;
use serde::Deserialize;
use serde::Serialize;

/// Requests a snapshot of the intent if the receiver's version is higher than the sender's.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentQuery {
    /// The environment.
    pub environment: EnvironmentName,
    /// The stage whose versions are compared.
    pub stage: Stage,
    /// The sender's version.
    pub version: Version,
}
