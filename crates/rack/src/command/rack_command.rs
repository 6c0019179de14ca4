//! Running a node as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use miette::IntoDiagnostic;
use miette::Report;
use quetzalrack_mesh::model::HostSettings;
use quetzalrack_platform::settings::read_settings;
use quetzalrack_platform::settings::settings_path;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::settings_watch::SettingsWatch;
use crate::logging::start_logging;
use crate::node::NodeOptions;
use crate::node::RunningNode;
use crate::process::log_panics;

/// Exit status for invalid settings, before any port is bound.
const INVALID_SETTINGS_STATUS: u8 = 2;
/// Interval at which the main thread checks whether the node has stopped.
const NODE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the settings file is read without a signal, so that a change of the file shows in
/// the log within a few seconds.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the node beside one backend server on the users' platform.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "quetzalrack-rack", version, about)]
pub struct RackCommand {
    /// The settings file; without it, the platform's environment variable names one
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Check the settings and start nothing
    #[arg(long)]
    check: bool,
    /// The port of the metrics page
    #[arg(long)]
    metrics: Option<u16>,
    /// Listen address for other nodes; the address in the settings, which they use, must lead here
    #[arg(long)]
    peers: Option<SocketAddr>,
}

impl RackCommand {
    /// Runs the node until it is told to shut down.
    pub fn run(&self) -> ExitCode {
        let path = match self.settings.clone().map_or_else(settings_path, Ok) {
            Ok(path) => path,
            Err(error) => return fail(&Report::msg(error), INVALID_SETTINGS_STATUS),
        };
        let host = match read_settings(&path) {
            Ok(host) => host,
            Err(error) => return fail(&Report::msg(error), INVALID_SETTINGS_STATUS),
        };
        if self.check {
            return ExitCode::SUCCESS;
        }
        match self.serve(host, path) {
            Ok(()) => ExitCode::SUCCESS,
            Err(report) => fail(&report, 1),
        }
    }

    fn serve(&self, host: HostSettings, path: PathBuf) -> miette::Result<()> {
        let logger = start_logging().into_diagnostic()?;
        log_panics();
        log::info!(
            event = "start", node = host.node.as_str(), zone = host.zone.as_str(),
            service = host.service.as_str(), pid = std::process::id(); ""
        );
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.into_diagnostic()?;
        let node = host.node.clone();
        let options = NodeOptions {
            metrics: self.metrics,
            peers: self.peers,
        };
        let result = runtime.block_on(run_node(host, options, path));
        match &result {
            Ok(()) => log::info!(event = "stop", node = node.as_str(); ""),
            Err(report) => log::error!(event = "stop", node = node.as_str(); "{report}"),
        }
        logger.flush();
        result
    }
}

/// Starts the node and handles the process's signals. The handlers are installed before any port
/// listens, so that no signal terminates the process without a graceful shutdown.
async fn run_node(host: HostSettings, options: NodeOptions, path: PathBuf) -> miette::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let mut interrupt = signal(SignalKind::interrupt()).into_diagnostic()?;
    let mut hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    let mut watch = SettingsWatch::new(path, host.clone());
    let mut settings_check = tokio::time::interval(SETTINGS_CHECK_INTERVAL);
    settings_check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let node = RunningNode::spawn(host, options).into_diagnostic()?;
    while !node.has_stopped() {
        tokio::select! {
            _ = terminate.recv() => start_shutdown(&node, "SIGTERM"),
            _ = interrupt.recv() => start_shutdown(&node, "SIGINT"),
            _ = hangup.recv() => watch.reload(),
            _ = settings_check.tick() => watch.check(),
            () = tokio::time::sleep(NODE_CHECK_INTERVAL) => {}
        }
    }
    node.result().into_diagnostic()
}

fn start_shutdown(node: &RunningNode, signal: &str) {
    log::info!(event = "leaving", signal = signal; "");
    node.shutdown();
}

fn fail(report: &Report, status: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(status)
}
