//! A running admin server.

use std::net::SocketAddr;

use rocket::Shutdown;

/// A running admin server; dropping it stops the server.
pub struct RunningAdmin {
    /// The bound address.
    pub address: SocketAddr,
    pub(super) shutdown: Shutdown,
}

impl Drop for RunningAdmin {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}
