//! The log is down and a host is lost meanwhile.

use std::time::Duration;

use quetzalrack_core::intent::Order;
use quetzalrack_standins::log_service::LogFaults;
use quetzalrack_testutils::environment::RunningEnvironment;
use quetzalrack_testutils::poll::poll_until;
use quetzalrack_wire::status::IntentStatus;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::Scene;
use super::controller::divided;
use super::controller::holder_host;
use super::scene::addresses;
use crate::LoadError;
use crate::drive::LoadTargets;
use crate::drive::Sample;
use crate::measure::longest_outage;
use crate::results::Line;

const RATE: f64 = 200.0;
const BEFORE: Duration = Duration::from_secs(4);
const LOSS_AFTER: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(8);
const PATIENCE: Duration = Duration::from_secs(30);

/// Takes the log down, kills a host, brings the log back and gives an order.
pub(super) async fn log_outage(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let setup = format!(
        "The document's mix at 200 requests/s; the log is down for {} s from second 4 on, a host of \
         the divided service is killed 5 s into the outage. Back up, an order is given and timed \
         until every node has it in force.",
        options.log_down.as_secs()
    );
    let mut findings = Findings::new(&setup, "answered by second, %");
    let mut scene = Scene::start(options, Choice::Default).await?;
    let service = divided(&scene.environment)?;
    let lost = holder_host(&scene.environment, &service).await?;
    let all = BEFORE + options.log_down + AFTER;
    let plan = scene.plan(RATE, all.as_secs());
    let down = options.log_down;
    let act = async |environment: &mut RunningEnvironment, targets: &LoadTargets| {
        outage(environment, targets, lost, down).await
    };
    let (samples, in_force) = scene.load_while(&plan, act).await?;
    add_phases(&mut findings, &samples, down);
    let divided: Vec<Sample> = samples
        .iter()
        .filter(|s| s.service == service)
        .cloned()
        .collect();
    let outage = longest_outage(&divided).as_secs_f64();
    findings.add(
        "quetzalrack",
        "longest without any answer, divided service",
        outage,
        "s",
    );
    findings.add(
        "quetzalrack",
        "order in force everywhere after",
        in_force.as_secs_f64(),
        "s",
    );
    findings.lines.push(Line::answered("answered", &samples));
    findings.add_violations(&scene.check().await?);
    Ok(findings)
}

fn add_phases(findings: &mut Findings, samples: &[Sample], down: Duration) {
    let at_loss = BEFORE + LOSS_AFTER;
    let phases = [
        ("log up", Duration::ZERO, BEFORE),
        ("log down", BEFORE, at_loss),
        ("log down, host lost", at_loss, BEFORE + down),
        ("log up again", BEFORE + down, Duration::MAX),
    ];
    for (name, from, to) in phases {
        let inside = |sample: &&Sample| sample.at >= from && sample.at < to;
        let phase: Vec<&Sample> = samples.iter().filter(inside).collect();
        findings.add_phase("quetzalrack", name, &phase);
    }
}

async fn outage(
    environment: &mut RunningEnvironment,
    targets: &LoadTargets,
    lost: usize,
    down: Duration,
) -> Result<Duration, LoadError> {
    sleep(BEFORE).await;
    let faults = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    environment.set_log_faults(&faults).await?;
    sleep(LOSS_AFTER).await;
    environment.hosts[lost].kill().await?;
    targets.replace(addresses(environment));
    sleep(down.saturating_sub(LOSS_AFTER)).await;
    environment.set_log_faults(&LogFaults::default()).await?;
    let server = environment.hosts[lost].plan.server.clone();
    let stage = environment.plan.stage;
    let began = Instant::now();
    environment
        .give(Order::ServerOut {
            stage,
            server: server.clone(),
        })
        .await?;
    let everywhere = poll_until(PATIENCE, || async {
        let statuses = environment.statuses().await;
        let has = |intent: &IntentStatus| intent.servers_out.contains(&server);
        let all = statuses
            .iter()
            .all(|status| status.intent.as_ref().is_some_and(has));
        all.then_some(())
    });
    match everywhere.await {
        Some(()) => Ok(began.elapsed()),
        None => Err(LoadError::Experiment(
            "the order was not in force everywhere in 30 s",
        )),
    }
}
