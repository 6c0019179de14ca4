//! Command line of `quetzalrack-rack` and handling of its signals.

mod rack_command;
mod settings_watch;

pub use rack_command::RackCommand;
