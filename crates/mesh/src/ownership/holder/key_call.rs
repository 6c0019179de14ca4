//! Calls to the backend server about its keys.

use std::net::SocketAddr;

use super::KeyRequest;

/// Numbers the calls of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyCallId(pub u64);

/// Is one call to the backend server beside the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCall {
    /// Names the call in its outcome.
    pub id: KeyCallId,
    /// Where the server listens.
    pub address: SocketAddr,
    /// What it is asked for.
    pub request: KeyRequest,
}
