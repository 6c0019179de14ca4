//! Limits of client connections.

use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Limits one client connection to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClientLimits {
    /// The largest header section of a request, in bytes.
    pub header_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long a client may take to send its header section.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits in force before a configuration is read, which are those of common HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
