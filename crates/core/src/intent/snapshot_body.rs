//! The signed part of a snapshot.

use serde::Deserialize;
use serde::Serialize;

use super::refused_order::RefusedOrder;
use super::snapshot_order::SnapshotOrder;
use crate::ids::EnvironmentName;
use crate::ids::Offset;
use crate::time::WallTime;

/// Is the state of a reader that has decided every record before `covered`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct SnapshotBody {
    /// The environment.
    pub environment: EnvironmentName,
    /// The first offset that the snapshot does not cover.
    pub covered: Offset,
    /// When it was made.
    pub at: WallTime,
    /// Kept orders of trial, oldest first.
    pub trial: Vec<SnapshotOrder>,
    /// Kept orders of production, oldest first.
    pub production: Vec<SnapshotOrder>,
    /// The texts of the documents that those orders name.
    pub documents: Vec<String>,
    /// Rejected orders that must stay so.
    pub refused: Vec<RefusedOrder>,
}
