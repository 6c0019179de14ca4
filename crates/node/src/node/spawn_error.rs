//! Why a node can't be started.

use std::io;
use std::net::SocketAddr;

use quetzalrack_core::security::KeyError;

use crate::platform::HttpClientError;

/// Why a node can't be started.
#[derive(Debug)]
#[derive(thiserror::Error, miette::Diagnostic)]
pub enum SpawnError {
    /// The settings' keys are invalid.
    #[error("the settings' keys are invalid")]
    #[diagnostic(code(node::keys))]
    Keys(#[from] KeyError),
    /// An HTTP client can't be created.
    #[error("an HTTP client can't be created")]
    #[diagnostic(code(node::connector))]
    HttpClient(#[from] HttpClientError),
    /// A thread can't be started.
    #[error("a thread can't be started")]
    #[diagnostic(code(node::thread))]
    Thread(#[source] io::Error),
    /// An address can't be bound.
    #[error("{part} can't be bound to {address}")]
    #[diagnostic(code(node::bind))]
    Bind {
        /// The part of the node.
        part: &'static str,
        /// The address to be bound.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The traffic threads can't be started.
    #[error("the traffic threads can't be started")]
    #[diagnostic(code(node::traffic))]
    Traffic(#[from] crate::traffic::TrafficError),
}
