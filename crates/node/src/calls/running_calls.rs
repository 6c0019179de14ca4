//! A bound call server.

use std::net::SocketAddr;

use jsonrpsee::server::ServerHandle;

/// A bound call server; it serves until this handle is dropped.
pub struct RunningCalls {
    /// The bound address.
    pub address: SocketAddr,
    pub(super) handle: ServerHandle,
}

impl Drop for RunningCalls {
    fn drop(&mut self) {
        // An error only means that the server has already stopped.
        let _ = self.handle.stop();
    }
}
