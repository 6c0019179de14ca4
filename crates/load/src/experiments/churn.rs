//! How many slices move when a host is lost and comes back.

use std::time::Duration;

use quetzalrack_testutils::environment::RunningEnvironment;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::OwnershipWatch;
use super::Scene;
use super::controller::divided;
use super::controller::held;
use super::controller::holder_host;
use super::scene::addresses;
use crate::LoadError;
use crate::drive::LoadTargets;
use crate::results::Line;

const RATE: f64 = 200.0;
const LOSS_S: u64 = 15;
const RETURN_S: u64 = 25;

/// Kills a holder under load, brings it back, and counts how many slices went to another node.
pub(super) async fn churn(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "200 requests/s; a host of the divided service is killed and 15 s later started again, \
         watched for 25 s more. Necessary at the loss: the slices that it held; at the return: its \
         even share of them. `modulo` is computed: what hash modulo the number of hosts would move.",
        "answered by second, %",
    );
    let mut scene = Scene::start(options, Choice::Default).await?;
    let service = divided(&scene.environment)?;
    let lost = holder_host(&scene.environment, &service).await?;
    let necessary = held(&scene.environment.hosts[lost]).await?.len();
    let plan = scene.plan(RATE, LOSS_S + RETURN_S);
    let act = async |environment: &mut RunningEnvironment, targets: &LoadTargets| {
        let mut watch = OwnershipWatch::begin(environment).await;
        environment.hosts[lost].kill().await?;
        targets.replace(addresses(environment));
        look_for(&mut watch, environment, Duration::from_secs(LOSS_S)).await;
        let at_loss = watch.moves();
        environment.restart_host(lost).await?;
        targets.replace(addresses(environment));
        look_for(&mut watch, environment, Duration::from_secs(RETURN_S)).await;
        Ok((at_loss, watch.moves() - at_loss))
    };
    let (samples, (at_loss, at_return)) = scene.load_while(&plan, act).await?;
    let slices = scene.environment.plan.document.services.iter();
    let slices: u32 = slices.map(|service| service.slices).sum();
    let hosts = scene.environment.hosts.len() as f64;
    let share = f64::from(slices) / hosts;
    let modulo = f64::from(slices) * (1.0 - 1.0 / hosts);
    findings.add("quetzalrack", "moved at the loss", at_loss as f64, "slices");
    findings.add(
        "quetzalrack",
        "moved at the return",
        at_return as f64,
        "slices",
    );
    findings.add("necessary", "moved at the loss", necessary as f64, "slices");
    findings.add("necessary", "moved at the return", share, "slices");
    findings.add("modulo (computed)", "moved at the loss", modulo, "slices");
    findings.add("modulo (computed)", "moved at the return", modulo, "slices");
    findings.lines.push(Line::answered("quetzalrack", &samples));
    findings.add_phase(
        "quetzalrack",
        "whole run",
        &samples.iter().collect::<Vec<_>>(),
    );
    findings.add_violations(&scene.check().await?);
    Ok(findings)
}

async fn look_for(watch: &mut OwnershipWatch, environment: &RunningEnvironment, span: Duration) {
    let until = Instant::now() + span;
    while Instant::now() < until {
        watch.look(environment).await;
        sleep(Duration::from_millis(200)).await;
    }
}
