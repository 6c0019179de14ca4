//! How the backend servers of an environment behave.

use quetzalrack_core::time::Milliseconds;
use quetzalrack_standins::backend::ServiceTime;

/// Sets what the document leaves open about the backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendTuning {
    /// How long their work takes.
    pub service_time: ServiceTime,
    /// Whether they start cold.
    pub starts_cold: bool,
    /// How far their load reports lag behind.
    pub load_lag_ms: Milliseconds,
    /// The size of their answers in bytes.
    pub body_bytes: u64,
    /// Seeds their random choices, each server's differently.
    pub seed: u64,
}

impl Default for BackendTuning {
    fn default() -> Self {
        Self {
            service_time: ServiceTime::default(),
            starts_cold: true,
            load_lag_ms: Milliseconds(500),
            body_bytes: 1_024,
            seed: 1,
        }
    }
}
