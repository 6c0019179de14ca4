//! Calls to the backend server about its keys.

use std::net::SocketAddr;

use quetzalrack_core::time::Moment;

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
    /// When the newest heartbeat of its life was heard. A connection that was open before leads to that
    /// life; a newer one may lead to the next, which may not get a token that this one had.
    pub heard: Moment,
    /// What it is asked for.
    pub request: KeyRequest,
}
