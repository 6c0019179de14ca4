//! Why a node can't run.

use std::io;

use quetzalrack_platform::store::OpenStoreError;

/// Says why a node can't start, or why it ended.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum RunError {
    /// A port is taken, or a thread can't be started.
    #[error("the node can't run: {0}")]
    Io(#[from] io::Error),
    /// There is no client for the store.
    #[error(transparent)]
    Store(#[from] OpenStoreError),
    /// The settings leave no port for other nodes.
    #[error("the settings give no port for other nodes")]
    NoPeerPort,
    /// A thread broke down.
    #[error("the {0} thread broke down")]
    Broken(&'static str),
}
