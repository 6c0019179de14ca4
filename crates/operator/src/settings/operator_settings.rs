//! The settings file.

use std::fs;
use std::path::Path;

use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::ids::OperatorName;
use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::KeySettings;
use serde::Deserialize;
use serde::Serialize;

use super::SettingsError;

/// Says who the operator is, by which key, and where the environment is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The environment.
    pub environment: EnvironmentName,
    /// The operator's name, as others see it in history.
    pub operator: OperatorName,
    /// The operators' keys; the first signs.
    pub keys: Vec<KeySettings>,
    /// Where the log service is, as `http://IP:PORT`.
    pub log: String,
    /// The admin address of any node, as `http://IP:PORT`.
    #[serde(default)]
    pub node: Option<String>,
}

impl OperatorSettings {
    /// Reads the settings; fails with the place of the first wrong field.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        let settings: Self =
            serde_json::from_str(&text).map_err(|source| SettingsError::Malformed {
                path: path.to_owned(),
                source,
            })?;
        KeyRing::open(&settings.keys)?;
        Ok(settings)
    }

    /// Opens the ring of keys.
    pub fn ring(&self) -> Result<KeyRing, SettingsError> {
        Ok(KeyRing::open(&self.keys)?)
    }
}
