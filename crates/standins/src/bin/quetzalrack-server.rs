//! The command `quetzalrack-server`: the stand-in for a backend server.

use clap::Parser;
use miette::IntoDiagnostic;
use quetzalrack_standins::backend::ServerSettings;
use quetzalrack_standins::backend::backend_server;
use quetzalrack_standins::process::CommandLine;
use quetzalrack_standins::process::start_logging;

#[rocket::main]
async fn main() -> miette::Result<()> {
    let settings: ServerSettings = CommandLine::parse().read_settings()?;
    let _logger = start_logging().into_diagnostic()?;
    backend_server(settings).launch().await.into_diagnostic()?;
    Ok(())
}
