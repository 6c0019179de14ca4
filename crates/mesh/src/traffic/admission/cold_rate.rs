//! How much a cold backend server bears.

/// Says how many requests a cold backend server may get.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ColdRate {
    /// Nobody has said yet. A process that has started while the store is away does not know the
    /// operators' document.
    #[default]
    Unknown,
    /// The service has no cold start.
    Unlimited,
    /// So many requests a second.
    PerSecond {
        /// As many are begun.
        begun: f64,
        /// As many may reach the server.
        most: f64,
    },
}
