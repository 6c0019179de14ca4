//! A reading of a node's counters.

use serde::Deserialize;
use serde::Serialize;

use super::RouteSample;
use super::SliceSample;
use super::WorkSample;
use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::ids::ZoneName;
use crate::time::WallTime;

/// Is one reading of a node's counters, the answer of its admin `GET /service-level`.
///
/// Counters start at zero with each incarnation and only rise within one. A reader therefore adds
/// the difference to the last reading of the same incarnation, and the whole reading of a new one;
/// only what a node counted after its last reading before a crash is missing.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NodeSample {
    /// The node.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// When the counters were read, on the node's calendar clock.
    pub at: WallTime,
    /// Outcomes of callers' requests, by route.
    pub routes: Vec<RouteSample>,
    /// Requests sent to the backend server beside it.
    #[serde(default)]
    pub work: Vec<WorkSample>,
    /// Changes of slice ownership, by service.
    #[serde(default)]
    pub slices: Vec<SliceSample>,
}
