//! An operator's settings, read from a JSON file.

mod operator_settings;
mod settings_error;

pub use operator_settings::OperatorSettings;
pub use settings_error::SettingsError;
