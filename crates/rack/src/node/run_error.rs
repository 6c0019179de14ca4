//! Errors of a running node.

use std::io;

use quetzalrack_platform::store::OpenStoreError;

/// Reason why a node can't start or has stopped.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RunError {
    /// A port can't be bound, or a thread can't be started.
    #[error("the node can't run: {0}")]
    Io(#[from] io::Error),
    /// The client of the metadata store can't be created.
    #[error(transparent)]
    Store(#[from] OpenStoreError),
    /// The settings leave no port for other nodes.
    #[error("the settings give no port for other nodes")]
    NoPeerPort,
    /// A thread panicked.
    #[error("the {0} thread panicked")]
    Panicked(&'static str),
}
