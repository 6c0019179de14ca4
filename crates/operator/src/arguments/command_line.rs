//! The whole command line.

use std::path::PathBuf;

use clap::Parser;
use quetzalrack_core::language::Language;

use super::Command;

/// Tries documents, promotes them, and takes zones and backend servers out of service and back
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(name = "quetzalrack-operator", version)]
pub struct CommandLine {
    /// The settings: environment, operator, keys, log and node
    #[arg(long, env = "QUETZALRACK_OPERATOR", global = true)]
    pub settings: Option<PathBuf>,
    /// The log service, in place of the settings' one
    #[arg(long, global = true, value_name = "URL")]
    pub log: Option<String>,
    /// The admin address of any node, in place of the settings' one
    #[arg(long, global = true, value_name = "ADMIN_URL")]
    pub node: Option<String>,
    /// en, es or ne; by default that of the locale
    #[arg(long, global = true)]
    pub language: Option<Language>,
    /// Write JSON
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

impl CommandLine {
    /// Chooses the language: the option, or else the locale of the environment variables.
    pub fn language(&self) -> Language {
        let locale = ["LC_ALL", "LC_MESSAGES", "LANG"]
            .iter()
            .filter_map(|name| std::env::var(name).ok())
            .find(|locale| !locale.is_empty());
        self.language
            .unwrap_or_else(|| Language::from_locale(&locale.unwrap_or_default()))
    }
}
