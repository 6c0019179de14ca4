//! How unevenly work spreads over servers.

use std::collections::BTreeMap;

use quetzalrack_core::ids::ServiceName;
use quetzalrack_standins::backend::ServerTruth;

use super::Choice;
use super::ExperimentOptions;
use super::Findings;
use super::Scene;
use crate::LoadError;
use crate::results::Line;

const RATE: f64 = 400.0;
const WARM_UP_S: u64 = 4;
const MEASURED_S: u64 = 15;

/// Sends the document's mix and compares the busiest server of each service with the mean.
pub(super) async fn imbalance(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "The document's mix at 400 requests/s with Zipf keys for 15 s after 4 s of warm-up; the \
         busiest server's runs over the mean of its service.",
        "99th percentile by second, ms",
    );
    for choice in Choice::ALL {
        let mut scene = Scene::start(options, choice).await?;
        let plan = scene.plan(RATE, WARM_UP_S);
        scene.load(&plan).await;
        let before = scene.truth().await?;
        let plan = scene.plan(RATE, MEASURED_S);
        let samples = scene.load(&plan).await;
        let after = scene.truth().await?;
        let variant = choice.to_string();
        for (service, ratio) in busiest(&before, &after) {
            findings.add(&variant, &format!("busiest / mean, {service}"), ratio, "");
        }
        findings.add_phase(&variant, "all routes", &samples.iter().collect::<Vec<_>>());
        findings.lines.push(Line::p99(&variant, &samples));
        findings.add_violations(&scene.check().await?);
    }
    Ok(findings)
}

fn busiest(before: &[ServerTruth], after: &[ServerTruth]) -> BTreeMap<ServiceName, f64> {
    let mut runs: BTreeMap<ServiceName, Vec<usize>> = BTreeMap::new();
    for (old, new) in before.iter().zip(after) {
        let count = new.runs.len().saturating_sub(old.runs.len());
        runs.entry(new.service.clone()).or_default().push(count);
    }
    runs.into_iter()
        .map(|(service, counts)| {
            let most = counts.iter().max().copied().unwrap_or(0) as f64;
            let mean = counts.iter().sum::<usize>() as f64 / counts.len().max(1) as f64;
            (service, most / mean.max(1.0))
        })
        .collect()
}
