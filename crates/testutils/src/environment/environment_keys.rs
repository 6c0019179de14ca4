//! The keys of one environment.

use quetzalrack_core::security::KeySettings;
use uuid::Uuid;

/// Holds keys made for one environment, so that two of them on one host don't know each other.
#[derive(Clone, Debug)]
pub struct EnvironmentKeys {
    /// The key of the nodes.
    pub node: KeySettings,
    /// The key of the operators.
    pub operator: KeySettings,
}

impl EnvironmentKeys {
    /// Makes new keys.
    pub fn generate() -> Self {
        Self {
            node: key("nodes"),
            operator: key("operators"),
        }
    }
}

fn key(id: &str) -> KeySettings {
    let secret = [Uuid::new_v4(), Uuid::new_v4()];
    KeySettings {
        id: String::from(id),
        secret: secret.map(|part| part.simple().to_string()).concat(),
    }
}
