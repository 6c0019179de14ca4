//! The slice count of a service.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceName;

/// Fixes the number of slices over which a service's keys are spread. It is agreed in the log,
/// because two nodes with different counts would map one key to different slices and so to
/// different owners.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Division {
    /// The service.
    pub service: ServiceName,
    /// The number of its slices.
    pub slices: u32,
}
