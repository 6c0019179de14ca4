//! One host of a running environment.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use quetzalrack_standins::backend::ServerFaults;
use quetzalrack_standins::backend::ServerSettings;
use quetzalrack_standins::backend::ServerTruth;
use quetzalrack_standins::process::ListeningLine;
use quetzalrack_wire::status::NodeStatus;
use reqwest::Client;
use serde_json::Value;

use super::BackendTuning;
use super::EnvironmentError;
use super::HostPlan;
use super::HostProxies;
use super::NodeListening;
use crate::process::Program;
use crate::process::RunningProcess;

/// Is a node and the backend server beside it, either of which may be gone.
#[derive(Debug)]
pub struct Host {
    /// What the host is.
    pub plan: HostPlan,
    /// The fault proxies in front of the node, where the plan asks for them.
    pub proxies: Option<HostProxies>,
    node: Option<RunningProcess>,
    backend: Option<RunningProcess>,
    listening: Option<NodeListening>,
    backend_address: Option<SocketAddr>,
    past: Vec<ServerTruth>,
    folder: PathBuf,
    http: Client,
}

impl Host {
    /// Makes a host on which nothing runs.
    pub(super) fn new(plan: HostPlan, folder: &Path, http: Client) -> Self {
        Self {
            plan,
            proxies: None,
            node: None,
            backend: None,
            listening: None,
            backend_address: None,
            past: Vec::new(),
            folder: folder.to_owned(),
            http,
        }
    }

    /// Starts the node with the given settings; on the ports of its former life if it had one.
    pub(super) fn spawn_node(&mut self, mut settings: Value) -> Result<(), EnvironmentError> {
        if let Some(former) = self.listening {
            settings["ports"] = serde_json::json!({
                "traffic": former.traffic.port(),
                "heartbeat": former.heartbeat.port(),
                "control": former.control.port(),
                "admin": former.admin.port(),
            });
        }
        if let Some(proxies) = &self.proxies {
            settings["advertise"] = proxies.advertised();
        }
        let path = self.folder.join(format!("{}.json", self.plan.node));
        fs::write(&path, settings.to_string()).map_err(EnvironmentError::Folder)?;
        let log = self.folder.join(format!("{}.log", self.plan.node));
        self.node = Some(RunningProcess::spawn(Program::Node, [path], Some(&log))?);
        Ok(())
    }

    /// Waits until the node listens.
    pub(super) async fn node_listens(&mut self) -> Result<NodeListening, EnvironmentError> {
        let node = self.node.as_ref().ok_or(EnvironmentError::NotRunning)?;
        let listening: NodeListening = node.listening_async().await?;
        self.listening = Some(listening);
        if let Some(proxies) = &self.proxies {
            proxies.aim(&listening);
        }
        Ok(listening)
    }

    /// Starts the backend server.
    pub(super) fn spawn_backend(
        &mut self,
        tuning: &BackendTuning,
        seed: u64,
    ) -> Result<(), EnvironmentError> {
        let service = &self.plan.service;
        let settings = ServerSettings {
            service: service.name.clone(),
            server: self.plan.server.clone(),
            admin: self.listening.map(|listening| listening.admin),
            address: std::net::Ipv4Addr::LOCALHOST.into(),
            port: 0,
            slots: service.slots,
            connections: service.connections,
            cold_slots: service.cold_slots,
            warm_up_ms: service.warm_up_ms,
            starts_cold: tuning.starts_cold,
            connect_cost_ms: service.connect_cost_ms,
            probe_cost_ms: service.probe_cost_ms,
            checks_fence: service.checks_fence,
            service_time: tuning.service_time,
            load_lag_ms: tuning.load_lag_ms,
            body_bytes: tuning.body_bytes,
            seed: tuning.seed.wrapping_add(seed),
        };
        let text = serde_json::to_string(&settings)?;
        let log = self.folder.join(format!("{}.log", self.plan.server));
        let arguments = ["--json", text.as_str()];
        self.backend = Some(RunningProcess::spawn(
            Program::Server,
            arguments,
            Some(&log),
        )?);
        Ok(())
    }

    /// Waits until the backend server listens.
    pub(super) async fn backend_listens(&mut self) -> Result<SocketAddr, EnvironmentError> {
        let backend = self.backend.as_ref().ok_or(EnvironmentError::NotRunning)?;
        let line: ListeningLine = backend.listening_async().await?;
        self.backend_address = Some(line.address);
        Ok(line.address)
    }

    /// Returns the node's process.
    pub fn node(&self) -> Result<&RunningProcess, EnvironmentError> {
        self.node.as_ref().ok_or(EnvironmentError::NotRunning)
    }

    /// Returns the node's process, to end it.
    pub fn node_mut(&mut self) -> Result<&mut RunningProcess, EnvironmentError> {
        self.node.as_mut().ok_or(EnvironmentError::NotRunning)
    }

    /// Returns the backend server's process.
    pub fn backend(&self) -> Result<&RunningProcess, EnvironmentError> {
        self.backend.as_ref().ok_or(EnvironmentError::NotRunning)
    }

    /// Tells whether a node runs here.
    pub fn has_node(&self) -> bool {
        self.node.is_some()
    }

    /// Returns where the node listens or last listened.
    pub fn addresses(&self) -> Result<NodeListening, EnvironmentError> {
        self.listening.ok_or(EnvironmentError::NotRunning)
    }

    /// Kills the node.
    pub fn kill_node(&mut self) -> Result<(), EnvironmentError> {
        let mut node = self.node.take().ok_or(EnvironmentError::NotRunning)?;
        Ok(node.kill()?)
    }

    /// Kills node and backend server. The server is asked for its truth between the two, when
    /// nothing can reach it any more, since it takes the truth with it.
    pub async fn kill(&mut self) -> Result<(), EnvironmentError> {
        self.kill_node()?;
        self.kill_backend().await
    }

    /// Kills the backend server after asking it for its truth.
    pub async fn kill_backend(&mut self) -> Result<(), EnvironmentError> {
        let truth = self.truth().await?;
        let mut backend = self.backend.take().ok_or(EnvironmentError::NotRunning)?;
        backend.kill()?;
        self.past.push(truth);
        Ok(())
    }

    /// Takes away the backend server if it has ended by itself; returns whether it had.
    pub fn take_ended_backend(&mut self) -> bool {
        let ended = self.backend.as_mut().is_some_and(RunningProcess::has_ended);
        if ended {
            self.backend = None;
        }
        ended
    }

    /// Asks the node for its status.
    pub async fn status(&self) -> Result<NodeStatus, EnvironmentError> {
        self.node()?;
        let url = format!("http://{}/status", self.addresses()?.admin);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Makes the backend server fail in the given ways, and in no other.
    pub async fn set_faults(&self, faults: &ServerFaults) -> Result<(), EnvironmentError> {
        let url = format!("http://{}/faults", self.backend_at()?);
        let answer = self.http.put(url).json(faults).send().await?;
        answer.error_for_status()?;
        Ok(())
    }

    /// Asks the backend server what it truly did.
    pub async fn truth(&self) -> Result<ServerTruth, EnvironmentError> {
        let url = format!("http://{}/truth", self.backend_at()?);
        Ok(self.http.get(url).send().await?.json().await?)
    }

    /// Returns what every life of the backend server truly did, the present one last.
    pub async fn all_truth(&self) -> Result<Vec<ServerTruth>, EnvironmentError> {
        let mut all = self.past.clone();
        if self.backend.is_some() {
            all.push(self.truth().await?);
        }
        Ok(all)
    }

    fn backend_at(&self) -> Result<SocketAddr, EnvironmentError> {
        self.backend()?;
        self.backend_address.ok_or(EnvironmentError::NotRunning)
    }
}
