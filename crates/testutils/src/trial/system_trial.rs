//! A system test's environment.

use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use quetzalrack_core::ids::KeyHash;
use quetzalrack_core::ids::SliceId;
use serde_json::Value;
use uuid::Uuid;

use super::SteadyLoad;
use super::TimedReport;
use crate::caller::CallRequest;
use crate::caller::HttpCaller;
use crate::checker::Evidence;
use crate::checker::Violation;
use crate::checker::check_evidence;
use crate::environment::EnvironmentError;
use crate::environment::EnvironmentPlan;
use crate::environment::RunningEnvironment;
use crate::poll::poll_until;

/// How long an environment may take to come up on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long a caller waits at most.
const CALL_PATIENCE: Duration = Duration::from_secs(20);
/// Names a folder in which settings and logs of every environment are kept, to study a failure.
const KEPT_LOGS: &str = "QUETZALRACK_TEST_LOGS";
/// The documents of the repository.
const ANDINA: &str = include_str!("../../../../examples/andina.json");

/// Is an environment with some services of Andina's document, and callers.
#[derive(Debug)]
pub struct SystemTrial {
    /// The environment.
    pub environment: RunningEnvironment,
    /// Who calls.
    pub caller: HttpCaller,
}

impl SystemTrial {
    /// Plans an environment with the named services, warm servers and short work.
    pub fn plan(services: &[&str]) -> Result<EnvironmentPlan, EnvironmentError> {
        let mut document: Value = serde_json::from_str(ANDINA)?;
        if let Some(all) = document["services"].as_array_mut() {
            all.retain(|service| services.iter().any(|name| service["name"] == *name));
        }
        let mut plan = EnvironmentPlan::from_text(&document.to_string())?;
        plan.tuning.starts_cold = false;
        let kept = env::var_os(KEPT_LOGS).map(PathBuf::from);
        plan.folder = kept.map(|folder| folder.join(Uuid::new_v4().to_string()));
        Ok(plan)
    }

    /// Starts an environment and waits until every slice is owned.
    pub async fn start(plan: EnvironmentPlan) -> Result<Self, EnvironmentError> {
        Ok(Self {
            environment: RunningEnvironment::start_ready(plan, PATIENCE).await?,
            caller: HttpCaller::new(CALL_PATIENCE)?,
        })
    }

    /// Returns where the running nodes take callers' requests.
    pub fn nodes(&self) -> Vec<SocketAddr> {
        let running = self.environment.hosts.iter().filter(|host| host.has_node());
        let addresses = running.filter_map(|host| host.addresses().ok());
        addresses.map(|addresses| addresses.traffic).collect()
    }

    /// Starts a steady load to every running node.
    pub fn load<M>(&self, every: Duration, make: M) -> SteadyLoad
    where
        M: Fn(u64) -> CallRequest + Send + 'static,
    {
        SteadyLoad::spawn(self.caller.clone(), self.nodes(), every, make)
    }

    /// Finds the host whose node holds a slice.
    pub async fn holder(&self, slice: &SliceId) -> Option<usize> {
        poll_until(PATIENCE, || async {
            for (place, host) in self.environment.hosts.iter().enumerate() {
                let Ok(status) = host.status().await else {
                    continue;
                };
                let mut leases = status.leases.iter();
                if leases.any(|lease| lease.slice == *slice && lease.left_ms > 0) {
                    return Some(place);
                }
            }
            None
        })
        .await
    }

    /// Finds the host whose node is controller.
    pub async fn controller(&self) -> Option<usize> {
        poll_until(PATIENCE, || async {
            for (place, host) in self.environment.hosts.iter().enumerate() {
                let status = host.status().await.ok();
                if status.is_some_and(|s| s.controller.is_some_and(|controller| controller.here)) {
                    return Some(place);
                }
            }
            None
        })
        .await
    }

    /// Returns the slice of a key.
    pub fn slice(&self, service: &str, key: &str) -> Option<SliceId> {
        let services = &self.environment.plan.document.services;
        let service = services.iter().find(|spec| spec.name.as_str() == service)?;
        Some(SliceId {
            service: service.name.clone(),
            index: KeyHash::of(key).slice_among(service.slices),
        })
    }

    /// Judges what the stand-ins counted and what callers got.
    pub async fn verdict(
        &self,
        reports: &[TimedReport],
    ) -> Result<Vec<Violation>, EnvironmentError> {
        let answers = reports.iter().map(|timed| timed.report.record.clone());
        Ok(check_evidence(&Evidence {
            servers: self.environment.server_truth().await?,
            answers: answers.collect(),
        }))
    }
}
