//! A node before its start.

use std::sync::Arc;

use super::RunningNode;
use super::SpawnError;
use super::bind_parts::bind_parts;
use crate::platform::Boundaries;
use crate::platform::KeyStore;
use crate::settings::NodeSettings;
use crate::shared::SharedView;

/// A node whose dependencies are opened, with nothing bound or started.
pub struct Node {
    /// The node's settings.
    pub settings: NodeSettings,
    /// The keys in force.
    pub keys: Arc<KeyStore>,
    /// The state shared by the node's threads.
    pub view: Arc<SharedView>,
    /// The external dependencies; tests and benchmarks replace some of them.
    pub boundaries: Boundaries,
}

impl Node {
    /// Opens a node with the dependencies of a deployed node.
    pub fn open(settings: NodeSettings) -> Result<Self, SpawnError> {
        let keys = Arc::new(KeyStore::open(&settings)?);
        let view = Arc::new(SharedView::default());
        let boundaries = Boundaries::open(&settings, keys.clone(), view.clone())?;
        Ok(Self {
            settings,
            keys,
            view,
            boundaries,
        })
    }

    /// Binds all addresses and starts all threads; on an error, stops those already started.
    pub fn spawn(self) -> Result<RunningNode, SpawnError> {
        bind_parts(self)
    }
}
