//! The command line of a stand-in.

use std::fs;
use std::path::PathBuf;

use clap::Parser;
use serde::de::DeserializeOwned;

use super::SettingsError;

/// Names where a stand-in's settings are; both options given or none is an error of use.
#[derive(Debug)]
#[derive(Parser)]
#[command(version, about = "A small stand-in for one part of the platform")]
pub struct CommandLine {
    /// A JSON file with the settings
    #[arg(long, conflicts_with = "json", required_unless_present = "json")]
    settings: Option<PathBuf>,
    /// The settings as JSON text
    #[arg(long)]
    json: Option<String>,
}

impl CommandLine {
    /// Reads the settings, refusing unknown fields.
    pub fn read_settings<S>(&self) -> Result<S, SettingsError>
    where
        S: DeserializeOwned,
    {
        let text = match (&self.settings, &self.json) {
            (Some(path), _) => fs::read_to_string(path).map_err(SettingsError::Unreadable)?,
            (None, Some(text)) => text.clone(),
            (None, None) => String::from("{}"),
        };
        serde_json::from_str(&text).map_err(SettingsError::Malformed)
    }
}
