//! What a client may send, and how slowly.

use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;

/// Bounds what one client connection may ask of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClientLimits {
    /// The largest header section, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a client may take to send its header section.
    pub header_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for ClientLimits {
    /// Holds until a configuration says otherwise; the figures are those of usual HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
