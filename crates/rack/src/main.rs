//! The command `quetzalrack-rack`.

use std::process::ExitCode;

use clap::Parser;
use quetzalrack_rack::command::RackCommand;

fn main() -> ExitCode {
    RackCommand::parse().run()
}
