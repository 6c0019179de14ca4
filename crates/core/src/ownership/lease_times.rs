//! The times of a term.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::document::spec::OwnershipSpec;
use crate::time::Milliseconds;

/// Fixes the times for a whole term, so that two controllers of one term never count differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseTimes {
    /// How long a lease lasts from the sending of the heartbeat that its renewal answers.
    pub lease: Milliseconds,
    /// How often a node sends its heartbeat.
    pub heartbeat: Milliseconds,
    /// What a holder gives up and a controller adds, for drift and short pauses.
    pub margin: Milliseconds,
}

impl LeaseTimes {
    /// Returns how long a lease lasts.
    pub fn lease(self) -> Duration {
        self.lease.as_duration()
    }

    /// Returns how often a node sends its heartbeat.
    pub fn heartbeat(self) -> Duration {
        self.heartbeat.as_duration()
    }

    /// Returns the margin for drift and short pauses.
    pub fn margin(self) -> Duration {
        self.margin.as_duration()
    }

    /// Returns the time after which neither an older controller nor its last holder can still
    /// believe: one lease for the controller's authority, one for the lease it gave last.
    pub fn unreported_wait(self) -> Milliseconds {
        Milliseconds(self.lease.0 * 2 + self.margin.0)
    }

    /// Returns how long a deputy hears nothing before it acts.
    pub fn detection_time(self) -> Duration {
        self.lease() * 3 / 8
    }
}

impl From<OwnershipSpec> for LeaseTimes {
    fn from(spec: OwnershipSpec) -> Self {
        Self {
            lease: spec.lease_ms,
            heartbeat: spec.heartbeat_ms,
            margin: spec.margin_ms,
        }
    }
}

impl Default for LeaseTimes {
    fn default() -> Self {
        OwnershipSpec::default().into()
    }
}
