//! A whole load in a table.

use std::collections::BTreeMap;
use std::fmt;

use quetzalrack_testutils::checker::SaidOutcome;
use serde::Deserialize;
use serde::Serialize;

use super::LatencySummary;
use super::RouteSummary;
use crate::drive::Sample;

/// Is what a load showed, by route and in all.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct LoadSummary {
    /// Everything together.
    pub all: RouteSummary,
    /// Each route.
    pub routes: Vec<RouteSummary>,
}

impl LoadSummary {
    /// Sums samples up.
    pub fn of(samples: &[Sample]) -> Self {
        let mut routes: BTreeMap<String, Vec<&Sample>> = BTreeMap::new();
        for sample in samples {
            let name = format!("{}/{}", sample.service, sample.route);
            routes.entry(name).or_default().push(sample);
        }
        Self {
            all: summary("all", samples.iter().collect()),
            routes: routes
                .into_iter()
                .map(|(name, samples)| summary(&name, samples))
                .collect(),
        }
    }
}

fn summary(name: &str, samples: Vec<&Sample>) -> RouteSummary {
    let count = |wanted: SaidOutcome| {
        let outcomes = samples.iter().map(|sample| sample.report.record.outcome);
        outcomes.filter(|outcome| *outcome == wanted).count() as u64
    };
    RouteSummary {
        name: name.to_owned(),
        sent: samples.len() as u64,
        answered: count(SaidOutcome::Answered),
        not_run: count(SaidOutcome::NotRun),
        unknown: count(SaidOutcome::Unknown),
        failed: count(SaidOutcome::Failed),
        broken: count(SaidOutcome::Broken),
        latency: LatencySummary::of(samples.iter().copied()),
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<30} {:>8} {:>8} {:>7} {:>7} {:>6} {:>6} {:>8} {:>8} {:>8}",
            "route",
            "sent",
            "ok",
            "notrun",
            "unknown",
            "failed",
            "broken",
            "p50 ms",
            "p99 ms",
            "max ms"
        )?;
        for row in self.routes.iter().chain([&self.all]) {
            writeln!(
                f,
                "{:<30} {:>8} {:>8} {:>7} {:>7} {:>6} {:>6} {:>8.1} {:>8.1} {:>8.1}",
                row.name,
                row.sent,
                row.answered,
                row.not_run,
                row.unknown,
                row.failed,
                row.broken,
                row.latency.p50_ms,
                row.latency.p99_ms,
                row.latency.max_ms
            )?;
        }
        Ok(())
    }
}
