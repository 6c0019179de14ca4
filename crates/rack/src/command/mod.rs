//! The command line of `quetzalrack-rack`, and its signals.

mod rack_command;

pub use rack_command::RackCommand;
