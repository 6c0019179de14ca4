//! Runs one experiment.

use std::time::Instant;

use super::ExperimentName;
use super::ExperimentOptions;
use super::capacity::capacity;
use super::churn::churn;
use super::hot_key::hot_key;
use super::imbalance::imbalance;
use super::log_outage::log_outage;
use super::racing_operators::racing_operators;
use super::rolling_restart::rolling_restart;
use super::silent_cold::silent_cold;
use super::slowed::slowed;
use super::unavailable::unavailable;
use super::zone::zone;
use crate::LoadError;
use crate::results::ExperimentResult;
use crate::results::Machine;

/// Runs one experiment and describes the machine that it ran on.
pub async fn run_experiment(
    name: ExperimentName,
    options: &ExperimentOptions,
) -> Result<ExperimentResult, LoadError> {
    let machine = Machine::observe();
    let began = Instant::now();
    let findings = match name {
        ExperimentName::Imbalance => imbalance(options).await?,
        ExperimentName::Churn => churn(options).await?,
        ExperimentName::Unavailable => unavailable(options).await?,
        ExperimentName::Zone => zone(options).await?,
        ExperimentName::Slowed => slowed(options).await?,
        ExperimentName::SilentCold => silent_cold(options).await?,
        ExperimentName::LogOutage => log_outage(options).await?,
        ExperimentName::RollingRestart => rolling_restart(options).await?,
        ExperimentName::HotKey => hot_key(options).await?,
        ExperimentName::RacingOperators => racing_operators(options).await?,
        ExperimentName::Capacity => capacity(options).await?,
        ExperimentName::All => {
            return Err(LoadError::Experiment(
                "`all` stands for several experiments",
            ));
        }
    };
    let document: serde_json::Value = serde_json::from_str(&options.text)?;
    Ok(ExperimentResult {
        name: name.file_name().to_owned(),
        environment: document["environment"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
        setup: findings.setup,
        seed: options.seed,
        machine,
        seconds: began.elapsed().as_secs_f64(),
        figures: findings.figures,
        plotted: findings.plotted,
        lines: findings.lines,
        violations: findings.violations,
    })
}
