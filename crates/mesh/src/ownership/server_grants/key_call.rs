//! Calls to the backend server that grant or release keys.

use std::net::SocketAddr;

use quetzalrack_core::time::Moment;

use super::KeyRequest;

/// The number of a call, unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyCallId(pub u64);

/// One call to the node's backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCall {
    /// Identifies the call when its outcome is reported.
    pub id: KeyCallId,
    /// Where the server listens.
    pub address: SocketAddr,
    /// A grant needs a connection that was opened earlier. One opened later may lead to the next incarnation,
    /// which must not get a token of this one.
    pub opened_before: Moment,
    /// What the server is asked to do.
    pub request: KeyRequest,
}
