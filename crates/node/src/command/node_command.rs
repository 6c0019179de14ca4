//! The command line of the node process.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use flexi_logger::ErrorChannel;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use miette::IntoDiagnostic;
use miette::Report;

use super::watch_signals::watch_signals;
use crate::node::Node;
use crate::settings::read_settings;

/// The exit status if the settings are invalid; nothing has been started then.
const INVALID_SETTINGS: u8 = 2;
/// Log levels if `RUST_LOG` is not set; the HTTP libraries log only warnings or errors.
const DEFAULT_LEVELS: &str = "info, rocket=error, hyper=warn, reqwest=warn, jsonrpsee=warn";

/// The command line of `quetzalrack-node`, the process beside one backend server.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "quetzalrack-node", version, about)]
pub struct NodeCommand {
    /// The settings, a JSON file
    settings: PathBuf,
    /// Check the settings and start nothing
    #[arg(long)]
    check: bool,
}

impl NodeCommand {
    /// Runs the node until it is shut down.
    pub fn run(&self) -> ExitCode {
        let settings = match read_settings(&self.settings) {
            Ok(settings) => settings,
            Err(error) => return fail(&Report::new(error), INVALID_SETTINGS),
        };
        if self.check {
            return ExitCode::SUCCESS;
        }
        let outcome = start_logging().and_then(|_logger| {
            let running = Node::open(settings)?.spawn()?;
            watch_signals(&running.handle(), self.settings.clone()).into_diagnostic()?;
            let line = serde_json::to_string(running.listening()).into_diagnostic()?;
            println!("{line}");
            Ok(running.wait()?)
        });
        match outcome {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => fail(&report, 1),
        }
    }
}

/// Starts the logger. Write errors are discarded: if the reader of the log closes the pipe, the
/// logger by default reports that on the same pipe, which panics in the thread that logs next,
/// possibly the control thread. Lost log lines are preferable.
fn start_logging() -> miette::Result<LoggerHandle> {
    Logger::try_with_env_or_str(DEFAULT_LEVELS)
        .and_then(|logger| {
            logger
                .format(flexi_logger::json_format)
                .error_channel(ErrorChannel::DevNull)
                .start()
        })
        .into_diagnostic()
}

fn fail(report: &Report, status: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(status)
}
