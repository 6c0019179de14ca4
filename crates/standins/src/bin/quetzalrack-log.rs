//! The command `quetzalrack-log`: the stand-in for the platform's log service.

use clap::Parser;
use miette::IntoDiagnostic;
use quetzalrack_standins::log_service::LogSettings;
use quetzalrack_standins::log_service::log_server;
use quetzalrack_standins::process::CommandLine;
use quetzalrack_standins::process::start_logging;

#[rocket::main]
async fn main() -> miette::Result<()> {
    let settings: LogSettings = CommandLine::parse().read_settings()?;
    let _logger = start_logging().into_diagnostic()?;
    log_server(settings).launch().await.into_diagnostic()?;
    Ok(())
}
