//! The command `quetzalrack-load`.

use clap::Parser;
use quetzalrack_load::CommandLine;
use quetzalrack_load::run_command;

#[tokio::main]
async fn main() -> miette::Result<()> {
    run_command(CommandLine::parse()).await?;
    Ok(())
}
