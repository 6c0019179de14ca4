//! The command `quetzalrack-node`.

use std::process::ExitCode;

use clap::Parser;
use quetzalrack_node::command::NodeCommand;

fn main() -> ExitCode {
    NodeCommand::parse().run()
}
