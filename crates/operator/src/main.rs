//! The command `quetzalrack-operator`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use quetzalrack_node::platform::HttpLog;
use quetzalrack_node::platform::LogCounters;
use quetzalrack_operator::arguments::Command;
use quetzalrack_operator::arguments::CommandLine;
use quetzalrack_operator::commands::Session;
use quetzalrack_operator::commands::check_file;
use quetzalrack_operator::commands::run;
use quetzalrack_operator::desk::DeskConfig;
use quetzalrack_operator::nodes::NodeReader;
use quetzalrack_operator::settings::OperatorSettings;

/// Where settings are looked for when neither the option nor the variable names them.
const SETTINGS: &str = "operator.json";
/// The exit status for wrong input.
const BAD_INPUT: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let line = CommandLine::parse();
    if let Command::Check { file } = &line.command {
        let report = check_file(file, line.language(), line.json);
        print!("{report}");
        return report.exit.into();
    }
    match open(&line) {
        Ok(mut session) => {
            let report = run(&mut session, line.command).await;
            print!("{report}");
            report.exit.into()
        }
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn open(line: &CommandLine) -> miette::Result<Session> {
    let path = line
        .settings
        .clone()
        .unwrap_or_else(|| PathBuf::from(SETTINGS));
    let settings = OperatorSettings::open(&path)?;
    let address = line.log.clone().unwrap_or_else(|| settings.log.clone());
    let log = HttpLog::open(&address, Arc::new(LogCounters::default()))
        .map_err(|error| miette::miette!("{error}"))?;
    let keys = settings.ring()?;
    let nodes = NodeReader::open(keys.clone()).map_err(|error| miette::miette!("{error}"))?;
    let config = DeskConfig {
        environment: settings.environment.clone(),
        operator: settings.operator.clone(),
        keys,
        pause: DeskConfig::PAUSE,
        attempts: DeskConfig::ATTEMPTS,
    };
    let mut session = Session::open(config, Arc::new(log), Arc::new(nodes), line.language());
    session.json = line.json;
    session.log_name = address;
    session.node = line.node.clone().or_else(|| settings.node.clone());
    Ok(session)
}
