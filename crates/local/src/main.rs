//! The command `quetzalrack-local`.

use clap::Parser;
use quetzalrack_local::CommandLine;
use quetzalrack_local::run;

#[tokio::main]
async fn main() -> miette::Result<()> {
    run(CommandLine::parse()).await?;
    Ok(())
}
