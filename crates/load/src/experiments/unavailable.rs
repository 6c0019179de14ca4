//! How long keys go without service after losses.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::ids::KeyHash;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::SliceIndex;
use quetzalrack_standins::log_service::LogFaults;
use quetzalrack_testutils::environment::RunningEnvironment;
use tokio::time::sleep;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::Scene;
use super::controller::controller_host;
use super::controller::divided;
use super::controller::holder_host;
use super::scene::addresses;
use crate::LoadError;
use crate::drive::LoadTargets;
use crate::drive::Sample;
use crate::keys::KeyPlan;
use crate::measure::longest_silence;
use crate::results::Line;

/// Some 40 requests a second for each slice; the longest gap between them is about 0.25 s.
const RATE: f64 = 640.0;
const SECONDS: u64 = 12;
/// When the loss happens, from the start of the load.
const LOSS_AT: Duration = Duration::from_secs(2);
/// How long a restarted node takes part again before the next loss: it abstains for two leases.
const REST: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
enum Loss {
    Holder,
    Controller,
    Both,
}

/// Kills a holder, the controller, and both at once, with the log up and down.
pub(super) async fn unavailable(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "640 requests/s over all keys of the divided service, 12 s each; after 2 s the named nodes \
         are killed. The longest time for which no answer came to requests of any one slice, \
         refused and long waiting alike; about 0.25 s of it is the gap between requests.",
        "answered by second, %",
    );
    let mut scene = Scene::start(options, Choice::Default).await?;
    for log_down in [false, true] {
        for loss in [Loss::Holder, Loss::Controller, Loss::Both] {
            let samples = lose(&mut scene, loss, log_down).await?;
            let log = if log_down { "log down" } else { "log up" };
            let lost = format!("{loss:?}").to_lowercase();
            let longest = by_slice(&scene, &samples)?;
            let measure = format!("longest without service, {lost} lost");
            findings.add(log, &measure, longest.as_secs_f64(), "s");
            let label = format!("{lost} lost, {log}");
            findings.lines.push(Line::answered(&label, &samples));
        }
    }
    findings.add_violations(&scene.check().await?);
    Ok(findings)
}

async fn lose(scene: &mut Scene, loss: Loss, log_down: bool) -> Result<Vec<Sample>, LoadError> {
    let service = divided(&scene.environment)?;
    let mut plan = scene.plan_of(RATE, SECONDS, |name, _| *name == service);
    plan.keys = KeyPlan {
        count: 512,
        exponent: 0.0,
        ..KeyPlan::default()
    };
    let holder = holder_host(&scene.environment, &service).await?;
    let controller = controller_host(&scene.environment).await?;
    let lost: &[usize] = match loss {
        Loss::Holder => &[holder],
        Loss::Controller => &[controller],
        Loss::Both => &[holder, controller],
    };
    let act = async |environment: &mut RunningEnvironment, targets: &LoadTargets| {
        environment.set_log_faults(&log_faults(log_down)).await?;
        sleep(LOSS_AT).await;
        for &host in lost {
            environment.hosts[host].kill_node()?;
        }
        targets.replace(addresses(environment));
        Ok(())
    };
    let (samples, ()) = scene.load_while(&plan, act).await?;
    scene.environment.set_log_faults(&log_faults(false)).await?;
    for &host in lost {
        scene.environment.restart_node(host).await?;
    }
    scene.targets.replace(addresses(&scene.environment));
    scene.settle().await?;
    sleep(REST).await;
    Ok(samples)
}

fn log_faults(down: bool) -> LogFaults {
    LogFaults {
        down,
        ..LogFaults::default()
    }
}

fn by_slice(scene: &Scene, samples: &[Sample]) -> Result<Duration, LoadError> {
    let name: ServiceName = divided(&scene.environment)?;
    let document = &scene.environment.plan.document;
    let count = document.service(&name).map_or(1, |service| service.slices);
    let mut slices: BTreeMap<SliceIndex, Vec<Sample>> = BTreeMap::new();
    for sample in samples {
        let key = sample
            .report
            .record
            .target
            .rsplit('/')
            .next()
            .unwrap_or_default();
        let slice = KeyHash::of(key).slice_among(count);
        slices.entry(slice).or_default().push(sample.clone());
    }
    let silences = slices.values().map(|samples| longest_silence(samples));
    Ok(silences.max().unwrap_or_default())
}
