//! The hottest keys move.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::Scene;
use super::controller::divided;
use crate::LoadError;
use crate::drive::Sample;
use crate::keys::KeyPlan;
use crate::results::Line;

const RATE: f64 = 600.0;
const SECONDS: u64 = 40;
const MOVE_EVERY: Duration = Duration::from_secs(10);

/// Sends skewed load on the divided service, first with hot keys that stay, then with moving ones.
pub(super) async fn hot_key(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "600 requests/s on the divided service, Zipf exponent 1.2 over 100,000 keys, 40 s each: \
         the 36 hottest keys stay, then move every 10 s. Busiest: the share of the busiest server \
         over an even share.",
        "99th percentile by second, ms",
    );
    let mut scene = Scene::start(options, Choice::Default).await?;
    let service = divided(&scene.environment)?;
    for (variant, move_every) in [("moving", Some(MOVE_EVERY)), ("staying", None)] {
        let mut plan = scene.plan_of(RATE, SECONDS, |name, _| *name == service);
        plan.keys = KeyPlan {
            exponent: 1.2,
            move_every,
            ..KeyPlan::default()
        };
        let samples = scene.load(&plan).await;
        findings.add_phase(variant, "all", &samples.iter().collect::<Vec<_>>());
        let late: Vec<&Sample> = samples
            .iter()
            .filter(|s| s.at >= plan.duration / 2)
            .collect();
        findings.add_phase(variant, "second half", &late);
        findings.add(variant, "busiest / even, second half", busiest(&late), "");
        findings.lines.push(Line::p99(variant, &samples));
    }
    findings.add_violations(&scene.check().await?);
    Ok(findings)
}

fn busiest(samples: &[&Sample]) -> f64 {
    let mut counts = BTreeMap::new();
    for server in samples
        .iter()
        .filter_map(|sample| sample.report.server.as_ref())
    {
        *counts.entry(server).or_insert(0_u64) += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0) as f64;
    let even = counts.values().sum::<u64>() as f64 / counts.len().max(1) as f64;
    most / even.max(1.0)
}
