//! The load of a node's backend server, in two bytes.

use serde::Deserialize;
use serde::Serialize;

use super::NodeLoad;

/// The number of steps from an idle server to one whose slots are all in use.
const UTILIZATION_STEPS: f64 = 32.0;
/// The size of one step of the link backlog.
const BACKLOG_STEP_MS: f64 = 16.0;

/// The load of a node as the leader sends it to all others several times a second. [`NodeLoad`] in full
/// for every node would be most of what a leader sends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadSummary {
    utilization: u8,
    backlog: u8,
}

impl LoadSummary {
    /// Returns the server's running and waiting requests as a multiple of its slots, capped at about 8.
    pub fn utilization(self) -> f64 {
        f64::from(self.utilization) / UTILIZATION_STEPS
    }

    /// Returns how many milliseconds the host's link needs for the large responses that wait for it,
    /// capped at about 4 seconds.
    pub fn link_backlog(self) -> f64 {
        f64::from(self.backlog) * BACKLOG_STEP_MS
    }
}

impl From<NodeLoad> for LoadSummary {
    fn from(load: NodeLoad) -> Self {
        Self {
            utilization: (load.utilization() * UTILIZATION_STEPS).round() as u8,
            backlog: (f64::from(load.backlog_ms) / BACKLOG_STEP_MS).round() as u8,
        }
    }
}
