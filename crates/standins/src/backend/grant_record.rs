//! One grant as a backend server saw it.

use std::net::SocketAddr;

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;
use serde::Deserialize;
use serde::Serialize;

/// Records a grant's arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantRecord {
    /// The slice.
    pub slice: SliceId,
    /// The grant's fence.
    pub fence: Fence,
    /// Whether the server took it.
    pub taken: bool,
    /// Who sent it.
    pub sender: Option<SocketAddr>,
    /// When it came, in microseconds since 1970.
    pub at_us: u64,
}
