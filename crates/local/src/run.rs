//! Brings the environment up and down.

use std::fs;
use std::future::pending;
use std::io::Write;
use std::io::stdout;
use std::time::Duration;
use std::time::Instant;

use quetzalrack_testutils::environment::EnvironmentPlan;
use quetzalrack_testutils::environment::RunningEnvironment;
use tokio::signal::ctrl_c;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;

use super::CommandLine;
use super::LocalError;
use super::ReadyTable;

/// How long the environment may take to come up.
const PATIENCE: Duration = Duration::from_secs(60);

/// How much older than its grant a gate believes a key to be at most.
const GATE_DRIFT: Duration = Duration::from_secs(1);

/// Runs one environment until Ctrl-C or until its time is up.
pub async fn run(line: CommandLine) -> Result<(), LocalError> {
    let text = fs::read_to_string(&line.document).map_err(|source| LocalError::Unreadable {
        path: line.document.clone(),
        source,
    })?;
    let mut plan = EnvironmentPlan::from_text(&text)?;
    plan.folder = line.folder;
    plan.tuning.starts_cold = !line.warm;
    let began = Instant::now();
    say(&format!(
        "starting {} with {} hosts ...",
        plan.document.environment,
        plan.hosts()?.len()
    ));
    let environment = RunningEnvironment::start_ready(plan, PATIENCE).await?;
    let seconds = began.elapsed().as_secs_f64();
    say(&format!(
        "every slice is owned after {seconds:.1} s
"
    ));
    // The table's idempotency keys carry their time; a gate refuses those that were named before
    // its own grant, give or take the drift between two clocks.
    sleep(GATE_DRIFT).await;
    say(&ReadyTable::of(&environment)?.to_string());
    say(&format!(
        "settings and logs are in {}",
        environment.folder().display()
    ));
    wait_for_end(line.seconds).await?;
    say("stopping");
    Ok(())
}

/// Prints a line; whoever closed the pipe does not want to read it, which is no reason to stop.
fn say(text: &str) {
    writeln!(stdout(), "{text}").ok();
}

async fn wait_for_end(seconds: Option<u64>) -> Result<(), LocalError> {
    let mut ended = signal(SignalKind::terminate()).map_err(LocalError::Signal)?;
    let time_is_up = async {
        match seconds {
            Some(seconds) => sleep(Duration::from_secs(seconds)).await,
            None => pending().await,
        }
    };
    say("Ctrl-C stops everything");
    tokio::select! {
        signal = ctrl_c() => signal.map_err(LocalError::Signal),
        _ = ended.recv() => Ok(()),
        () = time_is_up => Ok(()),
    }
}
