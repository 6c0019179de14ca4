//! An environment under load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::document::spec::RouteSpec;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_standins::backend::ServerTruth;
use quetzalrack_standins::backend::ServiceTime;
use quetzalrack_testutils::caller::HttpCaller;
use quetzalrack_testutils::checker::Evidence;
use quetzalrack_testutils::checker::Violation;
use quetzalrack_testutils::checker::check_evidence;
use quetzalrack_testutils::environment::EnvironmentPlan;
use quetzalrack_testutils::environment::RunningEnvironment;
use serde_json::Value;
use tokio::time::sleep;

use super::Choice;
use super::ExperimentOptions;
use crate::LoadError;
use crate::arrivals::ArrivalShape;
use crate::drive::LoadPlan;
use crate::drive::LoadTargets;
use crate::drive::Sample;
use crate::drive::drive_load;
use crate::keys::KeyPlan;
use crate::mix::RouteMix;

/// How long an environment may take to own every slice.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long a caller waits at most.
const CALL_PATIENCE: Duration = Duration::from_secs(30);
/// How much older than its grant a gate believes a key to be at most.
const GATE_DRIFT: Duration = Duration::from_secs(2);
/// The median time of work, long enough that slots and not this machine are the bound.
const WORK_US: u32 = 20_000;

/// Is a running environment with callers who know its nodes.
#[derive(Debug)]
pub struct Scene {
    /// The environment.
    pub environment: RunningEnvironment,
    /// The nodes that callers know.
    pub targets: Arc<LoadTargets>,
    caller: HttpCaller,
    records: Vec<Sample>,
    seed: u64,
}

impl Scene {
    /// Starts an environment with warm servers and waits until every slice is owned.
    pub async fn start(options: &ExperimentOptions, choice: Choice) -> Result<Self, LoadError> {
        let mut plan = EnvironmentPlan::from_text(&options.text)?;
        plan.tuning.starts_cold = false;
        plan.tuning.seed = options.seed;
        plan.tuning.service_time = ServiceTime {
            median_us: WORK_US,
            sigma: 0.3,
        };
        if let Some(setting) = choice.setting() {
            let value = Value::from(setting);
            plan.node_fields.insert(String::from("choice"), value);
        }
        let environment = RunningEnvironment::start_ready(plan, PATIENCE).await?;
        let scene = Self {
            environment,
            targets: Arc::default(),
            caller: HttpCaller::new(CALL_PATIENCE)?,
            records: Vec::new(),
            seed: options.seed,
        };
        scene.targets.replace(scene.addresses());
        // Work that must not repeat is taken once its name is surely younger than its gate's grant.
        sleep(GATE_DRIFT).await;
        Ok(scene)
    }

    /// Returns where the running nodes take callers' requests.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        addresses(&self.environment)
    }

    /// Plans a load of every route.
    pub fn plan(&self, rate: f64, seconds: u64) -> LoadPlan {
        self.plan_of(rate, seconds, |_, _| true)
    }

    /// Plans a load of some routes.
    pub fn plan_of<F>(&self, rate: f64, seconds: u64, wanted: F) -> LoadPlan
    where
        F: Fn(&ServiceName, &RouteSpec) -> bool,
    {
        LoadPlan {
            rate,
            duration: Duration::from_secs(seconds),
            shape: ArrivalShape::Poisson,
            keys: KeyPlan::default(),
            mix: RouteMix::filtered(&self.environment.plan.document, wanted),
            bytes: Some(self.environment.plan.tuning.body_bytes),
            seed: self.seed.wrapping_add(self.records.len() as u64),
        }
    }

    /// Sends load.
    pub async fn load(&mut self, plan: &LoadPlan) -> Vec<Sample> {
        let samples = drive_load(plan, &self.targets, &self.caller).await;
        self.records.extend(samples.iter().cloned());
        samples
    }

    /// Sends load while `action` happens to the environment.
    pub async fn load_while<F, T>(
        &mut self,
        plan: &LoadPlan,
        action: F,
    ) -> Result<(Vec<Sample>, T), LoadError>
    where
        F: AsyncFnOnce(&mut RunningEnvironment, &LoadTargets) -> Result<T, LoadError>,
    {
        let sending = drive_load(plan, &self.targets, &self.caller);
        let (samples, outcome) =
            tokio::join!(sending, action(&mut self.environment, &self.targets));
        self.records.extend(samples.iter().cloned());
        Ok((samples, outcome?))
    }

    /// Asks the stand-ins for the truth and judges it together with every answer so far.
    pub async fn check(&self) -> Result<Vec<Violation>, LoadError> {
        let answers = self
            .records
            .iter()
            .map(|sample| sample.report.record.clone());
        let evidence = Evidence {
            servers: self.environment.server_truth().await?,
            answers: answers.collect(),
        };
        Ok(check_evidence(&evidence))
    }

    /// Asks the stand-ins for the truth.
    pub async fn truth(&self) -> Result<Vec<ServerTruth>, LoadError> {
        Ok(self.environment.server_truth().await?)
    }

    /// Waits until every slice is owned again.
    pub async fn settle(&self) -> Result<(), LoadError> {
        Ok(self.environment.wait_until_owned(PATIENCE).await?)
    }
}

/// Returns where the running nodes take callers' requests.
pub(super) fn addresses(environment: &RunningEnvironment) -> Vec<SocketAddr> {
    let running = environment.hosts.iter().filter(|host| host.has_node());
    let addresses = running.filter_map(|host| host.addresses().ok());
    addresses.map(|addresses| addresses.traffic).collect()
}
