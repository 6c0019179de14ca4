//! The command line.

use clap::Parser;

use super::LoadCommand;

/// Sends open-loop load and runs experiments against real processes
#[derive(Debug)]
#[derive(Parser)]
#[command(version)]
pub struct CommandLine {
    /// What to do
    #[command(subcommand)]
    pub command: LoadCommand,
}
