//! Tail latency while one and two servers are slow.

use std::time::Duration;

use quetzalrack_core::document::spec::Method;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_standins::backend::ServerFaults;
use quetzalrack_testutils::environment::RunningEnvironment;
use tokio::time::sleep;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::Scene;
use crate::LoadError;
use crate::drive::LoadTargets;
use crate::drive::Sample;
use crate::results::Line;

const RATE: f64 = 300.0;
const PHASE: Duration = Duration::from_secs(8);
/// How long the system has to notice before a phase is measured.
const NOTICE: Duration = Duration::from_secs(2);
const STRAGGLE: f64 = 10.0;

/// Slows one, then two servers of one undivided service, for each way of choosing.
pub(super) async fn slowed(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "300 requests/s of one reading route of an undivided service with four servers and 20 ms \
         of work: 8 s undisturbed, 8 s with one server ten times slower, 8 s with two. The first \
         2 s of each phase are shown apart.",
        "99th percentile by second, ms",
    );
    for choice in Choice::ALL {
        let mut scene = Scene::start(options, choice).await?;
        let service = undivided(&scene)?;
        let hosts: Vec<usize> = scene
            .environment
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.plan.service.name == service)
            .map(|(place, _)| place)
            .take(2)
            .collect();
        let plan = scene.plan_of(RATE, 3 * PHASE.as_secs(), |name, route| {
            *name == service && route.repeatable && route.method == Method::Get
        });
        let act = async |environment: &mut RunningEnvironment, _: &LoadTargets| {
            let slow = ServerFaults {
                straggle: Some(STRAGGLE),
                ..ServerFaults::default()
            };
            for &host in &hosts {
                sleep(PHASE).await;
                environment.hosts[host].set_faults(&slow).await?;
            }
            Ok(())
        };
        let (samples, ()) = scene.load_while(&plan, act).await?;
        add(&mut findings, &choice.to_string(), &samples);
        findings.add_violations(&scene.check().await?);
    }
    Ok(findings)
}

fn add(findings: &mut Findings, variant: &str, samples: &[Sample]) {
    for (number, name) in ["none slow", "one slow", "two slow"].iter().enumerate() {
        let from = PHASE * number as u32;
        let phase = |from: Duration, to: Duration| -> Vec<&Sample> {
            let inside = |sample: &&Sample| sample.at >= from && sample.at < to;
            samples.iter().filter(inside).collect()
        };
        let first = format!("{name}, first 2 s");
        findings.add_phase(variant, &first, &phase(from, from + NOTICE));
        findings.add_phase(variant, name, &phase(from + NOTICE, from + PHASE));
    }
    findings.lines.push(Line::p99(variant, samples));
}

fn undivided(scene: &Scene) -> Result<ServiceName, LoadError> {
    let mut services = scene.environment.plan.document.services.iter();
    services
        .find(|service| !service.divided_by_key && service.routes.iter().all(|r| r.repeatable))
        .map(|service| service.name.clone())
        .ok_or(LoadError::Experiment(
            "no undivided service has repeatable routes alone",
        ))
}
