//! What a backend server truly did.

use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::SlotCount;
use serde::Deserialize;
use serde::Serialize;

use super::GrantRecord;
use super::RunRecord;
use super::ServerCounts;

/// Is everything a backend server counted since its start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerTruth {
    /// The server.
    pub server: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it refuses an older fence.
    pub checks_fence: bool,
    /// How many requests at once it bears while cold.
    pub cold_slots: SlotCount,
    /// Whether it is cold now.
    pub cold: bool,
    /// The counts.
    pub counts: ServerCounts,
    /// The grants in order of arrival.
    pub grants: Vec<GrantRecord>,
    /// The runs in order of their beginning.
    pub runs: Vec<RunRecord>,
}
