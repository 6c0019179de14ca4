//! The rate that a cold backend server can handle.

/// How many requests a cold backend server may get.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ColdRate {
    /// Not known yet: a process that starts while the store is unreachable does not know the
    /// operators' document.
    #[default]
    Unknown,
    /// The service has no cold start.
    Unlimited,
    /// A rate in requests per second.
    PerSecond {
        /// The highest rate of admissions.
        begun: f64,
        /// The highest rate at which requests are sent to the server.
        most: f64,
    },
}
