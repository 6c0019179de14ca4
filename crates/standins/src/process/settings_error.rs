//! Why a stand-in can't start.

use std::io;

use miette::Diagnostic;

/// Says what is wrong with a stand-in's settings.
#[derive(Debug)]
#[derive(thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("the settings file can't be read")]
    #[diagnostic(code(standin::settings_unreadable))]
    Unreadable(#[source] io::Error),
    /// The text is not what the stand-in expects.
    #[error("the settings are malformed")]
    #[diagnostic(code(standin::settings_malformed))]
    Malformed(#[source] serde_json::Error),
}
