//! Why a node did not start.

use std::io;
use std::net::SocketAddr;

use quetzalrack_core::security::KeyError;

use crate::platform::HttpClientError;

/// Says which part of a node could not be started.
#[derive(Debug)]
#[derive(thiserror::Error, miette::Diagnostic)]
pub enum SpawnError {
    /// The settings' keys can't be used.
    #[error("the settings' keys can't be used")]
    #[diagnostic(code(node::keys))]
    Keys(#[from] KeyError),
    /// A connector to the outside can't be made.
    #[error("a connector can't be made")]
    #[diagnostic(code(node::connector))]
    Connector(#[from] HttpClientError),
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
        /// The wanted address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The traffic threads can't be started.
    #[error("the traffic threads can't be started")]
    #[diagnostic(code(node::traffic))]
    Traffic(#[from] crate::traffic::TrafficError),
}
