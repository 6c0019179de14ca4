//! What a backend server counts.

use serde::Deserialize;
use serde::Serialize;

/// Counts since the server's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerCounts {
    /// The most requests at once while it was openly cold, waiting ones included.
    pub cold_most: u32,
    /// The most requests at once while it was cold unannounced, waiting ones included.
    pub silent_cold_most: u32,
    /// The most requests at once while it was warm, waiting ones included.
    pub warm_most: u32,
    /// Requests shed with a true "not run".
    pub shed: u64,
    /// Requests refused because of an older fence.
    pub outdated: u64,
    /// Requests not begun because their deadline had passed.
    pub expired: u64,
    /// Cancellations received.
    pub cancellations: u64,
    /// Cancellations that stopped work.
    pub cancelled: u64,
    /// Connections that brought a request.
    pub connections_opened: u64,
    /// Answers about health or load.
    pub probes: u64,
}
