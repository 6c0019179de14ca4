//! The load of a node's backend server.

use serde::Deserialize;
use serde::Serialize;

/// The load that a node measures at its backend server and at its host's link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeLoad {
    /// The number of requests that run or wait.
    pub requests: u16,
    /// How many may run at once; 0 while the server accepts no work.
    pub limit: u16,
    /// How long its requests take, in percent of the usual time.
    pub slowdown_percent: u16,
    /// The duration, in milliseconds, of the requests that make up most of its work; 0 if none has ended.
    pub request_ms: u16,
    /// How long, in milliseconds, the host's link needs for the large responses that wait for it.
    pub backlog_ms: u16,
}

impl NodeLoad {
    /// Returns the running and waiting requests as a multiple of what may run at once.
    pub fn utilization(&self) -> f64 {
        f64::from(self.requests) / f64::from(self.limit.max(1))
    }
}
