//! What control costs at several sizes.

use std::time::Duration;

use quetzalrack_testutils::environment::EnvironmentPlan;
use quetzalrack_testutils::environment::RunningEnvironment;
use quetzalrack_wire::status::NodeStatus;
use serde_json::Value;
use tokio::time::sleep;

use super::ExperimentOptions;
use super::Findings;
use super::cost_rate::CostRate;
use crate::LoadError;

/// The sizes, in nodes; each node has a backend server beside it.
const SIZES: [u32; 3] = [4, 16, 64];
/// How many slices there are for each server, as at every size.
const SLICES_PER_SERVER: u32 = 4;
const START_PATIENCE: Duration = Duration::from_secs(60);
/// How long the first moves may take before costs are read.
const SETTLE: Duration = Duration::from_secs(8);
const IDLE: Duration = Duration::from_secs(15);
const LOSS: Duration = Duration::from_secs(12);

/// Measures processor time, memory and bytes of control without traffic, and log appends idle and
/// after the loss of one zone's nodes.
pub(super) async fn capacity(options: &ExperimentOptions) -> Result<Findings, LoadError> {
    let mut findings = Findings::new(
        "One cell of 4, 16 and 64 node processes without traffic, four slices for each server, \
         lease 1.2 s, heartbeat 0.4 s. Costs over 15 s as the nodes count them, then all nodes of \
         one zone are killed and appends are counted at the log's stand-in for 12 s.",
        "",
    );
    for size in SIZES {
        measure(&mut findings, options, size).await?;
    }
    Ok(findings)
}

async fn measure(
    findings: &mut Findings,
    options: &ExperimentOptions,
    size: u32,
) -> Result<(), LoadError> {
    let mut plan = EnvironmentPlan::from_text(&resized(&options.text, size)?)?;
    plan.tuning.starts_cold = false;
    plan.threads = 1;
    let mut environment = RunningEnvironment::start_ready(plan, START_PATIENCE).await?;
    sleep(SETTLE).await;
    let appends = environment.log_truth().await?.appends;
    let before = environment.statuses().await;
    sleep(IDLE).await;
    let after = environment.statuses().await;
    let idle = environment.log_truth().await?.appends - appends;
    let variant = format!("{size} nodes");
    add_costs(findings, &variant, &before, &after);
    let per_second = idle as f64 / IDLE.as_secs_f64();
    findings.add(&variant, "log appends, idle", per_second, "/s");
    let lost = kill_zone(&mut environment)?;
    sleep(LOSS).await;
    let truth = environment.log_truth().await?;
    let total = (truth.appends - appends - idle) as f64;
    findings.add(&variant, "nodes lost at once", lost as f64, "");
    findings.add(&variant, "log appends in 12 s after the loss", total, "");
    findings.add(
        &variant,
        "most appends in one second, ever",
        truth.most_per_second as f64,
        "",
    );
    let unowned = environment.unowned().await.len() as f64;
    findings.add(
        &variant,
        "slices without owner 12 s after the loss",
        unowned,
        "",
    );
    Ok(())
}

fn add_costs(findings: &mut Findings, variant: &str, before: &[NodeStatus], after: &[NodeStatus]) {
    let rates = CostRate::between(before, after);
    let (controllers, others): (Vec<_>, Vec<_>) =
        rates.into_iter().partition(|rate| rate.is_controller);
    for (role, rates) in [("controller", controllers), ("other nodes, mean", others)] {
        let mean = CostRate::mean(&rates);
        findings.add(
            variant,
            &format!("processor, {role}"),
            mean.core_percent,
            "% of a core",
        );
        findings.add(
            variant,
            &format!("bytes between nodes, {role}"),
            mean.peer_kb,
            "KB/s",
        );
        findings.add(
            variant,
            &format!("bytes of the log, {role}"),
            mean.log_kb,
            "KB/s",
        );
        findings.add(variant, &format!("memory, {role}"), mean.resident_mb, "MB");
    }
}

fn kill_zone(environment: &mut RunningEnvironment) -> Result<usize, LoadError> {
    let zone = environment.plan.document.zones.first().cloned();
    let mut lost = 0;
    for host in &mut environment.hosts {
        if Some(&host.plan.zone) == zone.as_ref() {
            host.kill_node()?;
            lost += 1;
        }
    }
    Ok(lost)
}

/// Changes a document so that its services have `size` servers together.
fn resized(text: &str, size: u32) -> Result<String, LoadError> {
    let mut document: Value = serde_json::from_str(text)?;
    if let Some(services) = document["services"].as_array_mut() {
        let servers = if size < 16 {
            size
        } else {
            size / services.len() as u32
        };
        if size < 16 {
            services.truncate(1);
        }
        for service in services {
            service["servers"] = Value::from(servers);
            service["slices"] = Value::from(servers * SLICES_PER_SERVER);
        }
    }
    Ok(document.to_string())
}
