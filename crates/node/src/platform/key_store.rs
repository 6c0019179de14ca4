//! The keys in force, which can be replaced without a restart.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use quetzalrack_core::security::KeyError;
use quetzalrack_core::security::KeyRing;

use crate::settings::NodeSettings;

/// Holds the key rings. All parts of the node read them at each use, so that replaced keys take
/// effect everywhere at once.
pub struct KeyStore {
    nodes: ArcSwap<KeyRing>,
    operators: ArcSwap<KeyRing>,
}

impl KeyStore {
    /// Opens the key rings of the settings.
    pub fn open(settings: &NodeSettings) -> Result<Self, KeyError> {
        Ok(Self {
            nodes: ArcSwap::from_pointee(KeyRing::open(&settings.node_keys)?),
            operators: ArcSwap::from_pointee(KeyRing::open(&settings.operator_keys)?),
        })
    }

    /// Replaces both key rings by those of newer settings, or neither if one is invalid.
    pub fn replace(&self, settings: &NodeSettings) -> Result<(), KeyError> {
        let nodes = KeyRing::open(&settings.node_keys)?;
        let operators = KeyRing::open(&settings.operator_keys)?;
        self.nodes.store(Arc::new(nodes));
        self.operators.store(Arc::new(operators));
        Ok(())
    }

    /// Returns the keys by which nodes authenticate each other.
    pub fn nodes(&self) -> Arc<KeyRing> {
        self.nodes.load_full()
    }

    /// Returns the keys by which operators are authenticated.
    pub fn operators(&self) -> Arc<KeyRing> {
        self.operators.load_full()
    }
}

impl fmt::Debug for KeyStore {
    /// Shows only the ids of the keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyStore")
            .field("nodes", &self.nodes)
            .field("operators", &self.operators)
            .finish()
    }
}
