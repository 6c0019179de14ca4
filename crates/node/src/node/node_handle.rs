//! A handle for controlling a running node.

use std::sync::Arc;

use quetzalrack_core::security::KeyError;
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::node_shutdown::NodeShutdown;
use crate::control::ControlEvent;
use crate::control::ControlInbox;
use crate::platform::KeyStore;
use crate::settings::NodeSettings;

/// Shuts a running node down or replaces its keys; cheap to clone.
#[derive(Clone)]
pub struct NodeHandle {
    pub(super) inbox: ControlInbox,
    pub(super) keys: Arc<KeyStore>,
    pub(super) runtime: Handle,
    pub(super) shutdown: Arc<NodeShutdown>,
    pub(super) finished: watch::Receiver<bool>,
}

impl NodeHandle {
    /// Starts a graceful shutdown; later calls have no effect.
    pub fn shutdown(&self) {
        if self.shutdown.start() {
            let shutdown = self.shutdown.clone();
            self.runtime.spawn(async move { shutdown.run().await });
        }
    }

    /// Returns whether a shutdown was started.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_started()
    }

    /// Puts the keys of newer settings in force; every other setting needs a restart.
    pub fn replace_keys(&self, settings: &NodeSettings) -> Result<(), KeyError> {
        self.keys.replace(settings)?;
        self.inbox.send(ControlEvent::KeysChanged);
        Ok(())
    }

    /// Resolves once a shutdown is complete.
    pub async fn finished(&mut self) {
        // An error means that the node was dropped, so that nothing is left to wait for.
        let _ = self.finished.wait_for(|finished| *finished).await;
    }

    /// Returns the runtime on which the node's I/O runs.
    pub fn runtime(&self) -> &Handle {
        &self.runtime
    }
}
