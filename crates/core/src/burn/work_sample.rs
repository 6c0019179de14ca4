//! A count of the requests sent to one backend server.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServerName;
use crate::ids::ServiceName;

/// Counts the requests that one node sent to the backend server beside it; imbalance is computed
/// from these counts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WorkSample {
    /// The service.
    pub service: ServiceName,
    /// The backend server.
    pub server: ServerName,
    /// Requests sent to it since the node started.
    pub sent: u64,
}
