//! A node's settings, read from a JSON file.

mod check_settings;
mod locate_field;
mod mask_secrets;
mod node_settings;
mod port_settings;
mod read_settings;
mod settings_error;

pub use node_settings::NodeSettings;
pub use port_settings::PortSettings;
pub use quetzalrack_core::security::KeySettings;
pub use read_settings::parse_settings;
pub use read_settings::read_settings;
pub use settings_error::SettingsError;
