//! How arrivals spread over time.

use std::time::Duration;

/// Is the shape of arrivals around one mean rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalShape {
    /// Independent arrivals.
    Poisson,
    /// Half of the arrivals independent, the other half all at once every period.
    Bursts {
        /// The period.
        every: Duration,
    },
}
