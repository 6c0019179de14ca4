//! Two operators give orders at once.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::Order;
use quetzalrack_testutils::environment::EnvironmentError;
use quetzalrack_testutils::environment::RunningEnvironment;
use quetzalrack_testutils::poll::poll_until;
use quetzalrack_wire::status::IntentStatus;
use tokio::time::Instant;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::Scene;
use crate::LoadError;

const ROUNDS: u32 = 20;
const PATIENCE: Duration = Duration::from_secs(20);

/// Lets two operators take different servers out on top of the same version, again and again.
pub(super) async fn racing_operators(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "20 rounds: two operators take two different servers out at once on top of the same \
         version; timed until all nodes have the next version in force. The winner's order is \
         undone before the next round.",
        "",
    );
    let scene = Scene::start(options, Choice::Default).await?;
    let environment = &scene.environment;
    let first = environment.hosts[0].plan.server.clone();
    let second = environment.hosts[1].plan.server.clone();
    let mut slowest = Duration::ZERO;
    let mut winners = 0;
    for round in 0..ROUNDS {
        let began = Instant::now();
        let base = newest(environment).await;
        race(environment, &first, &second, base).await?;
        let out = in_force_everywhere(environment, base.next()).await?;
        slowest = slowest.max(began.elapsed());
        match out.iter().next() {
            Some(winner) if out.len() == 1 => {
                winners += 1;
                undo(environment, winner.clone(), base.next()).await?;
            }
            _ => findings
                .violations
                .push(format!("round {round}: {} orders in force", out.len())),
        }
    }
    findings.add("quetzalrack", "rounds", f64::from(ROUNDS), "");
    findings.add(
        "quetzalrack",
        "rounds with exactly one winner",
        f64::from(winners),
        "",
    );
    findings.add(
        "quetzalrack",
        "slowest until in force everywhere",
        slowest.as_secs_f64(),
        "s",
    );
    findings.add_violations(&scene.check().await?);
    Ok(findings)
}

async fn race(
    environment: &RunningEnvironment,
    first: &ServerName,
    second: &ServerName,
    base: Version,
) -> Result<(), LoadError> {
    let stage = environment.plan.stage;
    let name = |text: &str| text.parse().map_err(EnvironmentError::from);
    let one = environment.desk(name("bogota")?)?;
    let other = environment.desk(name("kathmandu")?)?;
    let out = |server: &ServerName| Order::ServerOut {
        stage,
        server: server.clone(),
    };
    let (one, other) = tokio::join!(one.give(out(first), base), other.give(out(second), base));
    one?;
    Ok(other?)
}

async fn undo(
    environment: &RunningEnvironment,
    server: ServerName,
    base: Version,
) -> Result<(), LoadError> {
    let stage = environment.plan.stage;
    environment.give(Order::ServerIn { stage, server }).await?;
    in_force_everywhere(environment, base.next()).await?;
    Ok(())
}

async fn newest(environment: &RunningEnvironment) -> Version {
    let statuses = environment.statuses().await;
    let versions = statuses
        .iter()
        .filter_map(|status| Some(status.intent.as_ref()?.version));
    versions.max().unwrap_or_default()
}

/// Waits until every node has a version in force, and returns the servers that are out by it. All
/// nodes must agree on them.
async fn in_force_everywhere(
    environment: &RunningEnvironment,
    version: Version,
) -> Result<BTreeSet<ServerName>, LoadError> {
    let everywhere = poll_until(PATIENCE, || async {
        let statuses = environment.statuses().await;
        let intents: Vec<&IntentStatus> = statuses
            .iter()
            .filter_map(|status| status.intent.as_ref())
            .collect();
        let first = intents.first()?;
        let agree = |intent: &&IntentStatus| {
            intent.version >= version && intent.servers_out == first.servers_out
        };
        let complete = intents.len() == environment.hosts.len();
        (complete && intents.iter().all(agree)).then(|| first.servers_out.clone())
    });
    let late = LoadError::Experiment("a version was not in force everywhere in 20 s");
    everywhere.await.ok_or(late)
}
