//! A report with its time.

use std::time::Duration;

use crate::caller::CallReport;

/// Is what a caller got for the request that it sent at a time.
#[derive(Clone, Debug)]
pub struct TimedReport {
    /// When it was sent, from the start of the load.
    pub at: Duration,
    /// What the caller got.
    pub report: CallReport,
}
