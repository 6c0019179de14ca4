//! Why settings are refused.

use std::io;
use std::path::PathBuf;

use quetzalrack_core::security::KeyError;

/// Says what is wrong with an operator's settings.
#[derive(Debug)]
#[derive(miette::Diagnostic, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("the settings {path} can't be read", path = path.display())]
    #[diagnostic(code(QZ1101))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A field is missing, unknown or of the wrong type; the source names the place.
    #[error("the settings {path} are wrong: {source}", path = path.display())]
    #[diagnostic(code(QZ1102))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What and where.
        source: serde_json::Error,
    },
    /// The keys are of no use.
    #[error("the field keys is wrong: {0}")]
    #[diagnostic(code(QZ1103))]
    Keys(#[from] KeyError),
}
