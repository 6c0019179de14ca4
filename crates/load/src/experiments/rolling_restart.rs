//! Every node restarts in turn under load.

use std::time::Duration;

use quetzalrack_testutils::environment::RunningEnvironment;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::Scene;
use super::scene::addresses;
use crate::LoadError;
use crate::drive::LoadTargets;
use crate::drive::Sample;
use crate::measure::LoadSummary;
use crate::measure::longest_outage;
use crate::results::Line;

const RATE: f64 = 200.0;
/// How long the restarts may take; those not done by then are not counted as done.
const SPAN: Duration = Duration::from_secs(120);
const EXIT_PATIENCE: Duration = Duration::from_secs(15);

/// Ends each node by SIGTERM, waits until it has gone and starts it again, one after the other.
pub(super) async fn rolling_restart(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "The document's mix at 200 requests/s for 120 s; nodes are ended by SIGTERM one after the \
         other, started again once they have gone, and the next follows when every slice is owned. \
         Callers turn to another node when they can't connect.",
        "answered by second, %",
    );
    let mut scene = Scene::start(options, Choice::Default).await?;
    let plan = scene.plan(RATE, SPAN.as_secs());
    let act = async |environment: &mut RunningEnvironment, targets: &LoadTargets| {
        restart_each(environment, targets).await
    };
    let (samples, (restarted, slowest)) = scene.load_while(&plan, act).await?;
    findings.add("quetzalrack", "nodes restarted", restarted as f64, "");
    findings.add(
        "quetzalrack",
        "slowest to leave",
        slowest.as_secs_f64(),
        "s",
    );
    add_outcomes(&mut findings, &samples);
    findings.add_phase(
        "quetzalrack",
        "whole run",
        &samples.iter().collect::<Vec<&Sample>>(),
    );
    findings.lines.push(Line::answered("answered", &samples));
    findings.add_violations(&scene.check().await?);
    Ok(findings)
}

fn add_outcomes(findings: &mut Findings, samples: &[Sample]) {
    let summary = LoadSummary::of(samples).all;
    let outage = longest_outage(samples).as_secs_f64();
    let mut add = |measure: &str, value: f64, unit: &str| {
        findings.add("quetzalrack", measure, value, unit);
    };
    add("requests cut or unanswered", summary.broken as f64, "");
    add("refused, not run", summary.not_run as f64, "");
    add("refused, unknown", summary.unknown as f64, "");
    add("longest time without any answer", outage, "s");
}

async fn restart_each(
    environment: &mut RunningEnvironment,
    targets: &LoadTargets,
) -> Result<(usize, Duration), LoadError> {
    let until = Instant::now() + SPAN - EXIT_PATIENCE;
    let mut slowest = Duration::ZERO;
    for host in 0..environment.hosts.len() {
        if Instant::now() >= until {
            return Ok((host, slowest));
        }
        let began = Instant::now();
        environment.hosts[host].node()?.terminate()?;
        while environment.hosts[host]
            .node_mut()?
            .wait_for_exit(Duration::ZERO)?
            .is_none()
        {
            if began.elapsed() > EXIT_PATIENCE {
                return Err(LoadError::Experiment("a node did not leave within 15 s"));
            }
            sleep(Duration::from_millis(20)).await;
        }
        slowest = slowest.max(began.elapsed());
        environment.restart_node(host).await?;
        targets.replace(addresses(environment));
        environment.wait_until_owned(EXIT_PATIENCE).await?;
    }
    Ok((environment.hosts.len(), slowest))
}
