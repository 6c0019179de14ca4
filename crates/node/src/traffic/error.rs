//! Errors at the start of the traffic threads.

use std::io;
use std::net::SocketAddr;

/// The reason why the traffic threads did not start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum TrafficError {
    /// The port is in use or not permitted.
    #[error("can't listen on {address}")]
    Bind {
        /// The requested address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system could not start the threads.
    #[error("can't start the traffic threads")]
    Threads(#[source] io::Error),
    /// The HTTP client could not be built.
    #[error("can't set up outgoing connections")]
    Connections(#[source] reqwest::Error),
}
