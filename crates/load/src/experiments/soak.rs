//! Load with random faults.

use std::time::Duration;

use quetzalrack_standins::backend::ServerFaults;
use quetzalrack_standins::log_service::LogFaults;
use quetzalrack_testutils::environment::RunningEnvironment;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Choice;
use super::ExperimentOptions;
use super::Scene;
use super::scene::addresses;
use crate::LoadError;
use crate::drive::LoadTargets;
use crate::measure::LoadSummary;

const RATE: f64 = 150.0;
/// How long one round of faults lasts; the truth is judged after each.
const ROUND: Duration = Duration::from_secs(20);

/// Runs rounds of load with faults drawn from the seed until the time is up or a promise breaks.
pub async fn soak(text: &str, span: Duration, seed: u64) -> Result<(), LoadError> {
    println!("soak with seed {seed} for {} s", span.as_secs());
    let options = ExperimentOptions {
        text: text.to_owned(),
        seed,
        log_down: Duration::ZERO,
    };
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut scene = Scene::start(&options, Choice::Default).await?;
    let until = Instant::now() + span;
    let mut round = 0;
    while Instant::now() < until {
        round += 1;
        let plan = scene.plan(RATE, ROUND.as_secs());
        let act = async |environment: &mut RunningEnvironment, targets: &LoadTargets| {
            break_something(environment, targets, &mut random).await
        };
        let (samples, fault) = scene.load_while(&plan, act).await?;
        let summary = LoadSummary::of(&samples).all;
        let found = scene.check().await?;
        println!(
            "round {round}: {fault}; {} sent, {} answered, {} not run, {} unknown, {} broken, {} violations",
            summary.sent,
            summary.answered,
            summary.not_run,
            summary.unknown,
            summary.broken,
            found.len()
        );
        if !found.is_empty() {
            for violation in &found {
                println!("  {violation}");
            }
            return Err(LoadError::Experiment(
                "a promise was broken; see the lines above",
            ));
        }
        scene.settle().await?;
    }
    println!("{round} rounds, 0 violations, seed {seed}");
    Ok(())
}

async fn break_something(
    environment: &mut RunningEnvironment,
    targets: &LoadTargets,
    random: &mut ChaCha8Rng,
) -> Result<String, LoadError> {
    let host = random.random_range(0..environment.hosts.len());
    let name = environment.hosts[host].plan.node.to_string();
    let span = Duration::from_millis(random.random_range(500..6_000));
    let log_down = random.random_bool(0.3);
    if log_down {
        let faults = LogFaults {
            down: true,
            ..LogFaults::default()
        };
        environment.set_log_faults(&faults).await?;
    }
    let kind = random.random_range(0..5);
    let fault = match kind {
        0 => {
            environment.hosts[host].kill_node()?;
            targets.replace(addresses(environment));
            sleep(span).await;
            environment.restart_node(host).await?;
            targets.replace(addresses(environment));
            "killed"
        }
        1 => {
            environment.hosts[host].node()?.freeze()?;
            sleep(span).await;
            environment.hosts[host].node()?.thaw()?;
            "frozen"
        }
        _ => {
            let faults = draw_faults(kind, random);
            environment.hosts[host].set_faults(&faults).await?;
            sleep(span).await;
            environment.hosts[host]
                .set_faults(&ServerFaults::default())
                .await?;
            "given a faulty server"
        }
    };
    environment.set_log_faults(&LogFaults::default()).await?;
    let log = if log_down { ", log down" } else { "" };
    Ok(format!("{name} {fault} for {} ms{log}", span.as_millis()))
}

fn draw_faults(kind: u32, random: &mut ChaCha8Rng) -> ServerFaults {
    let next = random.random_range(1..20);
    match kind {
        2 => ServerFaults {
            frozen: true,
            ..ServerFaults::default()
        },
        3 => ServerFaults {
            lose: next,
            cross: next,
            truncate: next,
            ..ServerFaults::default()
        },
        _ => ServerFaults {
            turn_cold: true,
            straggle: Some(random.random_range(2.0..20.0)),
            ..ServerFaults::default()
        },
    }
}
