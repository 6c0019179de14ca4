//! The lease times of a term.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::document::spec::OwnershipSpec;
use crate::time::Milliseconds;

/// The times that apply to a whole term, so that all controllers of one term use the same ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseTimes {
    /// How long a lease lasts, counted from the sending of the heartbeat that was answered.
    pub lease: Milliseconds,
    /// How often a node sends its heartbeat.
    pub heartbeat: Milliseconds,
    /// The time by which a holder shortens a lease and a controller lengthens it, for clock drift
    /// and short pauses.
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

    /// Returns the margin for clock drift and short pauses.
    pub fn margin(self) -> Duration {
        self.margin.as_duration()
    }

    /// Returns how long a new controller leaves an unreported slice ungranted. After one lease an
    /// older controller has lost its authority; after another the last lease it granted has ended.
    pub fn unreported_wait(self) -> Milliseconds {
        Milliseconds(self.lease.0 * 2 + self.margin.0)
    }

    /// Returns how long a controller must be silent before the first deputy takes over.
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
