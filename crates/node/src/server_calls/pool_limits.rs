//! The limits of the connections to the backend server.

use std::time::Duration;

/// The limits of the connections to the backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolLimits {
    /// How long opening a connection may take.
    pub(crate) connect_timeout: Duration,
    /// How many idle connections are kept.
    pub(crate) max_idle: usize,
    /// The longest body of a response; none if it is passed on as it arrives.
    pub(crate) body_bytes: Option<u64>,
}
