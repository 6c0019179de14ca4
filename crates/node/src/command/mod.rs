//! The command line, signal handling and logging of `quetzalrack-node`.

mod node_command;
mod watch_signals;

pub use node_command::NodeCommand;
