//! One request of a load.

use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_testutils::caller::CallReport;
use quetzalrack_testutils::checker::SaidOutcome;

/// Is one request with its latency from the time at which it was meant to be sent.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The intended time, from the start of the load.
    pub at: Duration,
    /// How long after the intended time the whole answer was there.
    pub latency: Duration,
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// What the caller got.
    pub report: CallReport,
}

impl Sample {
    /// Tells whether the caller got its whole answer.
    pub fn is_answered(&self) -> bool {
        self.report.record.outcome == SaidOutcome::Answered
    }

    /// Returns when the answer was there, from the start of the load.
    pub fn end(&self) -> Duration {
        self.at + self.latency
    }
}
