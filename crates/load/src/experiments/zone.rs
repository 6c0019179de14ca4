//! An availability zone leaves and returns.

use std::time::Duration;

use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::intent::Order;
use quetzalrack_standins::process::wall_us;
use quetzalrack_testutils::environment::RunningEnvironment;
use tokio::time::sleep;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::OwnershipWatch;
use super::Scene;
use crate::LoadError;
use crate::drive::LoadTargets;
use crate::drive::Sample;
use crate::measure::longest_outage;
use crate::results::Line;

const RATE: f64 = 400.0;
const BEFORE: Duration = Duration::from_secs(6);
const OUT: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(20);

struct Times {
    out_us: u64,
    in_us: u64,
    moves: usize,
}

/// Takes a zone out under load and returns it.
pub(super) async fn zone(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "The document's mix at 400 requests/s; the first zone is taken out after 6 s and returned \
         15 s later, watched for 20 s more. New work: requests that arrived at the zone's servers \
         after the order was in the log.",
        "99th percentile by second, ms",
    );
    let mut scene = Scene::start(options, Choice::Default).await?;
    let zone = scene.environment.plan.document.zones.first().cloned();
    let zone = zone.ok_or(LoadError::Experiment("the document has no zone"))?;
    let all = BEFORE + OUT + AFTER;
    let plan = scene.plan(RATE, all.as_secs());
    let leaving = zone.clone();
    let act = async move |environment: &mut RunningEnvironment, _: &LoadTargets| {
        leave_and_return(environment, leaving).await
    };
    let (samples, times) = scene.load_while(&plan, act).await?;
    let phase = |from: Duration, to: Duration| -> Vec<&Sample> {
        let inside = |sample: &&Sample| sample.at >= from && sample.at < to;
        samples.iter().filter(inside).collect()
    };
    findings.add_phase("quetzalrack", "before", &phase(Duration::ZERO, BEFORE));
    findings.add_phase("quetzalrack", "zone out", &phase(BEFORE, BEFORE + OUT));
    findings.add_phase("quetzalrack", "returned", &phase(BEFORE + OUT, all));
    let outage = longest_outage(&samples).as_secs_f64();
    findings.add(
        "quetzalrack",
        "longest time without any answer",
        outage,
        "s",
    );
    let last = last_work(&scene, &zone, &times).await?;
    findings.add(
        "quetzalrack",
        "last new work in the zone after the order",
        last,
        "s",
    );
    let moves = times.moves as f64;
    findings.add("quetzalrack", "slices moved, out and back", moves, "slices");
    findings.lines.push(Line::p99("p99", &samples));
    findings.add_violations(&scene.check().await?);
    Ok(findings)
}

async fn leave_and_return(
    environment: &mut RunningEnvironment,
    zone: ZoneName,
) -> Result<Times, LoadError> {
    let stage = environment.plan.stage;
    let mut watch = OwnershipWatch::begin(environment).await;
    sleep(BEFORE).await;
    let order = Order::ZoneOut {
        stage,
        zone: zone.clone(),
    };
    environment.give(order).await?;
    let out_us = wall_us();
    sleep(OUT).await;
    watch.look(environment).await;
    let in_us = wall_us();
    environment.give(Order::ZoneIn { stage, zone }).await?;
    sleep(AFTER).await;
    watch.look(environment).await;
    Ok(Times {
        out_us,
        in_us,
        moves: watch.moves(),
    })
}

async fn last_work(scene: &Scene, zone: &ZoneName, times: &Times) -> Result<f64, LoadError> {
    let mut last_us = times.out_us;
    for host in &scene.environment.hosts {
        if host.plan.zone != *zone {
            continue;
        }
        for run in host.truth().await?.runs {
            if run.arrived_us < times.in_us {
                last_us = last_us.max(run.arrived_us);
            }
        }
    }
    Ok((last_us - times.out_us) as f64 / 1e6)
}
