//! A running environment.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use quetzalrack_core::ids::OperatorName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::ids::SliceIndex;
use quetzalrack_core::ids::Version;
use quetzalrack_core::intent::Order;
use quetzalrack_core::security::KeyRing;
use quetzalrack_standins::backend::ServerTruth;
use quetzalrack_standins::log_service::LogFaults;
use quetzalrack_standins::log_service::LogTruth;
use quetzalrack_standins::process::ListeningLine;
use quetzalrack_wire::status::NodeStatus;
use reqwest::Client;
use serde_json::Value;
use tempfile::TempDir;

use super::EnvironmentError;
use super::EnvironmentKeys;
use super::EnvironmentPlan;
use super::Host;
use super::HostProxies;
use super::OperatorDesk;
use crate::poll::poll_until;
use crate::process::Program;
use crate::process::RunningProcess;

/// How many nodes start first, to be the others' seeds.
const FIRST_NODES: usize = 3;
/// How many other nodes a restarted one is told of.
const MOST_SEEDS: usize = 8;
/// How long a call to one of our own processes may take.
const CALL_PATIENCE: Duration = Duration::from_secs(10);

/// Is a running environment; dropping it kills every process of it.
#[derive(Debug)]
pub struct RunningEnvironment {
    /// What it was planned to be.
    pub plan: EnvironmentPlan,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The keys.
    pub keys: EnvironmentKeys,
    /// The process of the log service.
    pub log: RunningProcess,
    log_address: SocketAddr,
    folder: PathBuf,
    http: Client,
    _temporary: Option<TempDir>,
}

impl RunningEnvironment {
    /// Starts every process and waits until all of them listen; nothing is published yet.
    pub async fn start(plan: EnvironmentPlan) -> Result<Self, EnvironmentError> {
        let temporary = match plan.folder {
            Some(_) => None,
            None => Some(TempDir::new().map_err(EnvironmentError::Folder)?),
        };
        let folder = match (&plan.folder, &temporary) {
            (Some(folder), _) => folder.clone(),
            (None, Some(temporary)) => temporary.path().to_owned(),
            (None, None) => PathBuf::from("."),
        };
        fs::create_dir_all(&folder).map_err(EnvironmentError::Folder)?;
        let http = Client::builder().timeout(CALL_PATIENCE).build()?;
        let log = spawn_log(&plan, &folder)?;
        let line: ListeningLine = log.listening_async().await?;
        let hosts = plan
            .hosts()?
            .into_iter()
            .map(|host| Host::new(host, &folder, http.clone()))
            .collect();
        let mut environment = Self {
            plan,
            hosts,
            keys: EnvironmentKeys::generate(),
            log,
            log_address: line.address,
            folder,
            http,
            _temporary: temporary,
        };
        environment.start_hosts().await?;
        Ok(environment)
    }

    /// Starts an environment, puts its document in force and waits until every slice is owned.
    pub async fn start_ready(
        plan: EnvironmentPlan,
        patience: Duration,
    ) -> Result<Self, EnvironmentError> {
        let environment = Self::start(plan).await?;
        environment.put_in_force().await?;
        environment.wait_until_owned(patience).await?;
        Ok(environment)
    }

    async fn start_hosts(&mut self) -> Result<(), EnvironmentError> {
        if self.plan.proxied {
            for (seed, host) in (self.plan.tuning.seed..).zip(&mut self.hosts) {
                host.proxies = Some(HostProxies::bind(seed).await?);
            }
        }
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        let (first, rest) = all.split_at(FIRST_NODES.min(all.len()));
        self.start_nodes(first).await?;
        self.start_nodes(rest).await?;
        for host in 0..self.hosts.len() {
            self.hosts[host].spawn_backend(&self.plan.tuning, host as u64)?;
        }
        for host in &mut self.hosts {
            host.backend_listens().await?;
        }
        Ok(())
    }

    async fn start_nodes(&mut self, hosts: &[usize]) -> Result<(), EnvironmentError> {
        for &host in hosts {
            let settings = self.node_settings(host);
            self.hosts[host].spawn_node(settings)?;
        }
        for &host in hosts {
            self.hosts[host].node_listens().await?;
        }
        Ok(())
    }

    /// Starts the node of a host again, on its former ports.
    pub async fn restart_node(&mut self, host: usize) -> Result<(), EnvironmentError> {
        self.start_nodes(&[host]).await
    }

    /// Starts node and backend server of a host again.
    pub async fn restart_host(&mut self, host: usize) -> Result<(), EnvironmentError> {
        self.restart_node(host).await?;
        self.restart_backend(host).await
    }

    /// Starts the backend server of a host again.
    pub async fn restart_backend(&mut self, host: usize) -> Result<(), EnvironmentError> {
        let tuning = self.plan.tuning;
        self.hosts[host].spawn_backend(&tuning, host as u64)?;
        self.hosts[host].backend_listens().await?;
        Ok(())
    }

    fn node_settings(&self, host: usize) -> Value {
        let plan = &self.hosts[host].plan;
        let seeds: Vec<SocketAddr> = self
            .hosts
            .iter()
            .filter(|other| other.plan.node != plan.node)
            .filter_map(|other| other.addresses().ok())
            .map(|addresses| addresses.control)
            .take(MOST_SEEDS)
            .collect();
        let mut settings = serde_json::json!({
            "environment": self.plan.document.environment,
            "stage": self.plan.stage,
            "node": plan.node,
            "zone": plan.zone,
            "address": "127.0.0.1",
            "log": self.log_url(),
            "seeds": seeds,
            "node_keys": [self.keys.node],
            "operator_keys": [self.keys.operator],
            "threads": self.plan.threads,
        });
        for (name, value) in &self.plan.node_fields {
            settings[name] = value.clone();
        }
        settings
    }

    /// Opens the desk of an operator.
    pub fn desk(&self, operator: OperatorName) -> Result<OperatorDesk, EnvironmentError> {
        Ok(OperatorDesk::new(
            self.plan.document.environment.clone(),
            operator,
            KeyRing::open(std::slice::from_ref(&self.keys.operator))?,
            self.log_url(),
            self.http.clone(),
        ))
    }

    /// Publishes the document to trial and promotes it to production; for a new environment only.
    pub async fn put_in_force(&self) -> Result<(), EnvironmentError> {
        let desk = self.desk("developer".parse()?)?;
        desk.publish(&self.plan.text, Version(0)).await?;
        desk.promote(&self.plan.text, Version(0)).await
    }

    /// Gives an order on top of what the nodes have in force.
    pub async fn give(&self, order: Order) -> Result<(), EnvironmentError> {
        let statuses = self.statuses().await;
        let in_force = statuses
            .iter()
            .filter_map(|status| Some(status.intent.as_ref()?.version));
        let base = in_force.max().unwrap_or_default();
        self.desk("developer".parse()?)?.give(order, base).await
    }

    /// Asks every node that answers for its status.
    pub async fn statuses(&self) -> Vec<NodeStatus> {
        let asked = self.hosts.iter().map(Host::status);
        let answers = futures::future::join_all(asked).await;
        answers.into_iter().filter_map(Result::ok).collect()
    }

    /// Waits until every slice of every service is held.
    pub async fn wait_until_owned(&self, patience: Duration) -> Result<(), EnvironmentError> {
        let owned = poll_until(patience, || async {
            self.unowned().await.is_empty().then_some(())
        });
        if owned.await.is_some() {
            return Ok(());
        }
        let unowned = self.unowned().await;
        Err(EnvironmentError::TooLate {
            what: "the ownership of every slice",
            seen: format!("{} slices without an owner", unowned.len()),
        })
    }

    /// Returns the slices that no node says to hold.
    pub async fn unowned(&self) -> BTreeSet<SliceId> {
        let mut unowned: BTreeSet<SliceId> = self.slices().collect();
        for status in self.statuses().await {
            for lease in status.leases.iter().filter(|lease| lease.left_ms > 0) {
                unowned.remove(&lease.slice);
            }
        }
        unowned
    }

    fn slices(&self) -> impl Iterator<Item = SliceId> {
        let services = self.plan.document.services.iter();
        services.flat_map(|service| {
            (0..service.slices).map(|index| SliceId {
                service: service.name.clone(),
                index: SliceIndex(index),
            })
        })
    }

    /// Returns where the log service is.
    pub fn log_url(&self) -> String {
        format!("http://{}", self.log_address)
    }

    /// Returns the folder with the settings and logs.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Makes the log service fail in the given ways, and in no other.
    pub async fn set_log_faults(&self, faults: &LogFaults) -> Result<(), EnvironmentError> {
        let url = format!("{}/faults", self.log_url());
        let answer = self.http.put(url).json(faults).send().await?;
        answer.error_for_status()?;
        Ok(())
    }

    /// Asks the log service what it truly did.
    pub async fn log_truth(&self) -> Result<LogTruth, EnvironmentError> {
        let url = format!("{}/truth", self.log_url());
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Returns what every backend server truly did, in all of its lives.
    pub async fn server_truth(&self) -> Result<Vec<ServerTruth>, EnvironmentError> {
        let mut all = Vec::new();
        for host in &self.hosts {
            all.extend(host.all_truth().await?);
        }
        Ok(all)
    }
}

fn spawn_log(plan: &EnvironmentPlan, folder: &Path) -> Result<RunningProcess, EnvironmentError> {
    let text = serde_json::to_string(&plan.log)?;
    let file = folder.join("log-service.log");
    let arguments = ["--json", text.as_str()];
    Ok(RunningProcess::spawn(Program::Log, arguments, Some(&file))?)
}
