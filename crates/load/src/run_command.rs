//! Does what the command line asks.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::document::EnvironmentDocument;
use quetzalrack_testutils::caller::HttpCaller;

use super::CommandLine;
use super::LoadCommand;
use super::LoadError;
use crate::drive::LoadPlan;
use crate::drive::LoadTargets;
use crate::drive::drive_load;
use crate::experiments::ExperimentName;
use crate::experiments::ExperimentOptions;
use crate::experiments::run_experiment;
use crate::experiments::soak;
use crate::measure::LoadSummary;
use crate::results::write_result;

/// How long a caller waits at most.
const PATIENCE: Duration = Duration::from_secs(30);

/// Runs the command.
pub async fn run_command(line: CommandLine) -> Result<(), LoadError> {
    match line.command {
        LoadCommand::Run(options) => {
            let document: EnvironmentDocument = serde_json::from_str(&read(&options.document)?)?;
            run_load(&options.plan(&document), options.nodes, options.json).await
        }
        LoadCommand::Experiment {
            name,
            document,
            out,
            seed,
            log_down,
        } => {
            let options = ExperimentOptions {
                text: read(&document)?,
                seed,
                log_down: Duration::from_secs(log_down),
            };
            run_experiments(name, &options, &out).await
        }
        LoadCommand::Soak {
            document,
            minutes,
            seed,
        } => {
            let seed = seed.unwrap_or_else(rand::random);
            soak(&read(&document)?, Duration::from_secs(60 * minutes), seed).await
        }
    }
}

async fn run_experiments(
    name: ExperimentName,
    options: &ExperimentOptions,
    out: &Path,
) -> Result<(), LoadError> {
    for name in name.each() {
        let result = run_experiment(name, options).await?;
        println!("{}", write_result(&result, out)?);
    }
    Ok(())
}

async fn run_load(
    plan: &LoadPlan,
    nodes: Vec<SocketAddr>,
    json: Option<PathBuf>,
) -> Result<(), LoadError> {
    let targets = Arc::new(LoadTargets::new(nodes));
    let caller = HttpCaller::new(PATIENCE)?;
    let summary = LoadSummary::of(&drive_load(plan, &targets, &caller).await);
    println!("{summary}");
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&summary)?;
        fs::write(path, text).map_err(LoadError::Folder)?;
    }
    Ok(())
}

fn read(path: &Path) -> Result<String, LoadError> {
    fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
        path: path.to_owned(),
        source,
    })
}
