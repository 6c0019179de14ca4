//! Hosts on loopback, each with a backend server and the router's process.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use rustix::process::Signal;
use serde_json::Value;
use tempfile::TempDir;

use super::limits::Limits;
use super::node_process::Lines;
use super::node_process::NodeProcess;
use super::node_process::keep_logs;
use super::stand_in_server::ServerPlan;
use super::stand_in_server::StandInServer;
use super::stand_in_store::StandInStore;
use super::stand_in_store::StoreEndpoint;
use super::texts::config;
use super::texts::settings;
use super::truth::Truth;

/// Third byte of this test's loopback subnet. Tests run concurrently, also in different processes,
/// and must not share ports.
static NEXT_SUBNET: AtomicU64 = AtomicU64::new(1);

/// Sample of keys that is requested to check whether all keys are served.
const SAMPLE_KEYS: [u16; 8] = [0, 9_000, 18_000, 27_000, 36_000, 45_000, 54_000, 65_535];

/// Bandwidth that delays nothing, in Mbit/s.
const FAST_LINK_MBPS: f64 = 1_000.0;
/// Port of the metrics page in a world with limits.
const METRICS_PORT: u16 = 8_303;

/// A platform with its hosts.
pub struct World {
    pub store: StandInStore,
    pub hosts: Vec<Host>,
    pub truth: Arc<Truth>,
    folder: TempDir,
    http: reqwest::Client,
    /// First three bytes of the hosts' addresses.
    subnet: String,
    /// Bandwidth of the hosts' links, in Mbit/s.
    link_mbps: f64,
    /// Value of the setting `grants`: how servers are granted keys.
    grants: &'static str,
    /// Limits other than the usual ones.
    limits: Option<Limits>,
    /// Number of hosts ever added; their names and addresses are not reused.
    host_count: usize,
}

/// A host with its backend server and the router's process.
pub struct Host {
    pub server: StandInServer,
    /// The store's endpoint for this host.
    pub store: StoreEndpoint,
    pub(super) clients: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    process: Option<NodeProcess>,
    lines: Lines,
}

/// What a client received.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientResponse {
    pub status: Option<StatusCode>,
    pub body: String,
    pub retry_after: Option<String>,
}

impl World {
    /// Starts hosts, each for one service; keys divide the service named `keyed`.
    pub async fn start(services: &[&str]) -> Self {
        Self::start_with(services, FAST_LINK_MBPS, "heartbeat", None).await
    }

    /// Starts hosts whose servers are granted keys by call.
    pub async fn start_by_call(services: &[&str]) -> Self {
        Self::start_with(services, FAST_LINK_MBPS, "request", None).await
    }

    /// Starts hosts with links of this bandwidth, in Mbit/s.
    pub async fn start_with_link(services: &[&str], link_mbps: f64) -> Self {
        Self::start_with(services, link_mbps, "heartbeat", None).await
    }

    /// Starts hosts with these limits, each with a metrics page.
    pub async fn start_with_limits(services: &[&str], limits: Limits) -> Self {
        Self::start_with(services, FAST_LINK_MBPS, "heartbeat", Some(limits)).await
    }

    async fn start_with(
        services: &[&str],
        link_mbps: f64,
        grants: &'static str,
        limits: Option<Limits>,
    ) -> Self {
        let subnet = format!(
            "127.{}.{}",
            1 + std::process::id() % 250,
            NEXT_SUBNET.fetch_add(1, Ordering::Relaxed)
        );
        let (store, _) = StandInStore::bind(&format!("{subnet}.200")).await;
        store.write("config", &config_within(limits.as_ref(), 1));
        let folder = tempfile::tempdir().unwrap();
        let mut world = Self {
            store,
            hosts: Vec::new(),
            truth: Arc::default(),
            folder,
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            subnet,
            link_mbps,
            grants,
            limits,
            host_count: 0,
        };
        for service in services {
            world.add_host(service).await;
        }
        for index in 0..services.len() {
            world.start_node(index);
        }
        world
    }

    /// Adds a host with its server, without starting its node, and returns its index.
    pub async fn add_host(&mut self, service: &str) -> usize {
        let host = self.host(self.host_count, service).await;
        self.host_count += 1;
        self.hosts.push(host);
        self.hosts.len() - 1
    }

    async fn host(&self, index: usize, service: &str) -> Host {
        let ip = format!("{}.{}", self.subnet, index + 1);
        let (store_endpoint, store) = self.store.open_endpoint(&ip).await;
        // Every host has an address of its own, so all use the same ports, which lie below those
        // that the kernel assigns to outgoing connections.
        let port = |port| SocketAddr::new(ip.parse().unwrap(), port);
        let [clients, readiness, control, server] = [8_304, 8_302, 8_306, 8_301].map(port);
        let text = settings(
            &ip,
            index,
            service,
            store,
            [clients, readiness, control, server],
            self.link_mbps,
        );
        let text = text.replace(
            "grants = \"heartbeat\"",
            &format!("grants = {:?}", self.grants),
        );
        let text = match &self.limits {
            Some(limits) => limits.settings(&text),
            None => text,
        };
        let path = self.folder.path().join(format!("settings-{index}.toml"));
        fs::write(&path, text).unwrap();
        let plan = ServerPlan {
            id: format!("server-{index}"),
            service: service.to_owned(),
            keyed: service == "keyed",
            listen: server,
            advertised: server,
            control,
        };
        Host {
            server: StandInServer::spawn(plan, Arc::clone(&self.truth)).await,
            store: store_endpoint,
            clients,
            readiness,
            settings: path,
            process: None,
            lines: Arc::default(),
        }
    }

    /// Writes a new configuration that has one more route, `/new/`.
    pub fn write_config(&self, version: u64) {
        let config = config_within(self.limits.as_ref(), version);
        self.store.write("config", &config);
    }

    /// Writes a new configuration as soon as a node has read the first of several pages of the
    /// newest records.
    pub fn write_config_between_pages(&self, version: u64) {
        self.store
            .write_between_pages("config", &config(version, 1_000));
    }

    /// Writes a new configuration whose routes have a timeout of twenty seconds.
    pub fn write_long_timeout_config(&self, version: u64) {
        self.store.write("config", &config(version, 20_000));
    }

    fn build_request(&self, index: usize, id: &str, path: &str, timeout_ms: u32) -> RequestBuilder {
        let url = format!("http://{}{path}", self.hosts[index].clients);
        self.http
            .get(url)
            .header("host", "shop.example")
            .header("x-request-id", id)
            .header("x-deadline-ms", timeout_ms.to_string())
    }

    /// Sends a request with a timeout that is shorter than any attempt.
    pub async fn request_with_short_timeout(
        &self,
        index: usize,
        id: &str,
        path: &str,
    ) -> Option<StatusCode> {
        let request = self.build_request(index, id, path, 30);
        let response = request.send().await;
        response.ok().map(|response| response.status())
    }

    /// Sends a request with a timeout of twenty seconds; returns `None` if the connection ends
    /// without a response.
    pub async fn request_with_long_timeout(
        &self,
        index: usize,
        id: &str,
        path: &str,
    ) -> Option<StatusCode> {
        let request = self.build_request(index, id, path, 20_000);
        let response = request.send().await;
        response.ok().map(|response| response.status())
    }

    /// Sends a request with a timeout of twenty seconds and returns the length of the response, or
    /// `None` unless it arrived complete.
    pub async fn fetch_with_long_timeout(
        &self,
        index: usize,
        id: &str,
        path: &str,
    ) -> Option<usize> {
        let request = self.build_request(index, id, path, 20_000);
        let response = request.send().await.ok()?;
        response.bytes().await.ok().map(|body| body.len())
    }

    /// Replaces a text in a host's settings file without notifying the process.
    pub fn change_settings(&self, index: usize, from: &str, to: &str) {
        let path = &self.hosts[index].settings;
        let text = fs::read_to_string(path).unwrap();
        assert!(text.contains(from));
        fs::write(path, text.replace(from, to)).unwrap();
    }

    /// Sends SIGHUP, which reloads the settings file.
    pub fn send_sighup(&self, index: usize) {
        self.hosts[index].process().signal(Signal::HUP);
    }

    /// Returns the index of the node that logged the highest epoch as leader.
    pub fn leader(&self) -> usize {
        let newest = |index: &usize| {
            let lines = self.lines(*index, "event", "leads");
            lines.iter().filter_map(|line| line["epoch"].as_u64()).max()
        };
        (0..self.hosts.len()).max_by_key(newest).unwrap()
    }

    /// Starts the router on a host.
    pub fn start_node(&mut self, index: usize) {
        let metrics = ["--metrics".to_owned(), METRICS_PORT.to_string()];
        let arguments: &[String] = if self.limits.is_some() { &metrics } else { &[] };
        let host = &mut self.hosts[index];
        host.process = Some(NodeProcess::spawn(&host.settings, arguments, &host.lines));
    }

    /// Starts the router on a host with an output pipe that is never read.
    pub fn start_node_unread(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.process = Some(NodeProcess::spawn_unread(&host.settings, &[]));
    }

    /// Kills the router on a host.
    pub fn kill_node(&mut self, index: usize) {
        self.hosts[index].process = None;
    }

    /// Sends SIGTERM to the router on a host.
    pub fn terminate_node(&self, index: usize) {
        self.hosts[index].process().signal(Signal::TERM);
    }

    /// Waits until the router on a host exits by itself; returns whether it did in time.
    pub async fn wait_for_exit(&mut self, index: usize, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.hosts[index].process.as_mut().unwrap().has_ended() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns the lines logged on a host whose field has this value.
    pub fn lines(&self, index: usize, field: &str, value: &str) -> Vec<Value> {
        let lines = self.hosts[index].lines.lock().unwrap();
        lines
            .iter()
            .filter(|line| line[field] == value)
            .cloned()
            .collect()
    }

    /// Returns whether a host reports that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let url = format!("http://{}/readiness", self.hosts[index].readiness);
        self.http
            .get(url)
            .send()
            .await
            .is_ok_and(|response| response.status().is_success())
    }

    /// Sends a request to a host; the first path segment selects the route.
    pub async fn request(
        &self,
        index: usize,
        id: &str,
        path: &str,
        key: Option<u16>,
    ) -> ClientResponse {
        let request = self.build_request(index, id, path, 1_500);
        let mut request = request.header("x-caller-service", "a-lie");
        if let Some(key) = key {
            request = request.header("x-shard-key", key.to_string());
        }
        self.send(index, id, request).await
    }

    /// Sends a request with a body that may run once only.
    pub async fn post(&self, index: usize, id: &str, path: &str, body: &str) -> ClientResponse {
        let request = self.build_post(index, id, path).body(body.to_owned());
        self.send(index, id, request).await
    }

    /// Sends a request with a key that may run once only.
    pub async fn post_keyed(&self, index: usize, id: &str, path: &str, key: u16) -> ClientResponse {
        let request = self.build_post(index, id, path);
        let request = request.header("x-shard-key", key.to_string());
        self.send(index, id, request).await
    }

    fn build_post(&self, index: usize, id: &str, path: &str) -> RequestBuilder {
        self.http
            .post(format!("http://{}{path}", self.hosts[index].clients))
            .header("host", "shop.example")
            .header("x-request-id", id)
            .header("x-deadline-ms", "1500")
    }

    async fn send(&self, index: usize, id: &str, request: RequestBuilder) -> ClientResponse {
        self.truth.notices.sent(id, index);
        let Ok(response) = request.send().await else {
            return ClientResponse {
                status: None,
                body: String::new(),
                retry_after: None,
            };
        };
        self.truth.notices.passed_on(index, response.headers());
        let retry_after = response.headers().get("retry-after");
        ClientResponse {
            status: Some(response.status()),
            retry_after: retry_after.map(|value| value.to_str().unwrap().to_owned()),
            body: response.text().await.unwrap_or_default(),
        }
    }

    /// Returns when every key of the sample was served at every host, to a fifth of a second. The
    /// checks start at shorter intervals than the time after which a request without an owner is
    /// refused.
    pub async fn time_until_served(&self, timeout: Duration) -> Duration {
        let started = Instant::now();
        let mut checks = futures::stream::FuturesUnordered::new();
        let mut tick = tokio::time::interval(Duration::from_millis(200));
        loop {
            tokio::select! {
                _ = tick.tick() => checks.push(async {
                    let check_start = started.elapsed();
                    (check_start, self.all_served().await)
                }),
                Some((check_start, served)) = checks.next() => {
                    if served {
                        return check_start;
                    }
                    assert!(check_start < timeout, "not served after {check_start:?}");
                }
            }
        }
    }

    async fn all_served(&self) -> bool {
        let indices = 0..self.hosts.len();
        let requests = indices.flat_map(|index| SAMPLE_KEYS.map(|key| (index, key)));
        let requests = requests.map(|(index, key)| async move {
            let id = format!("look-{key}");
            self.request(index, &id, "/keyed/1", Some(key)).await.status
        });
        let statuses = futures::future::join_all(requests).await;
        statuses
            .iter()
            .all(|status| *status == Some(StatusCode::OK))
    }

    /// Waits until every key of the sample is served at every host.
    pub async fn wait_until_served(&self, timeout: Duration) -> Duration {
        let started = Instant::now();
        loop {
            let mut served = 0;
            for index in 0..self.hosts.len() {
                for key in SAMPLE_KEYS {
                    let response = self
                        .request(index, &format!("settle-{key}"), "/keyed/1", Some(key))
                        .await;
                    served += usize::from(response.status == Some(StatusCode::OK));
                }
            }
            if served == self.hosts.len() * SAMPLE_KEYS.len() {
                return started.elapsed();
            }
            assert!(
                started.elapsed() < timeout,
                "{served} of {} are served",
                self.hosts.len() * SAMPLE_KEYS.len()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Returns a configuration with these limits, or the usual ones.
fn config_within(limits: Option<&Limits>, version: u64) -> String {
    match limits {
        Some(limits) => limits.config(&config(version, limits.timeout_ms)),
        None => config(version, 1_000),
    }
}

impl Drop for World {
    /// Keeps the logs if the test has failed or `QUETZALRACK_TEST_LOGS` is set.
    fn drop(&mut self) {
        if !std::thread::panicking() && std::env::var_os("QUETZALRACK_TEST_LOGS").is_none() {
            return;
        }
        let lines = self.hosts.iter().map(|host| &host.lines);
        keep_logs(&format!("quetzalrack-world-{}", self.subnet), lines);
    }
}

impl Host {
    /// Starts the router on a host that has not been added to the world yet.
    pub fn spawn(&self) -> NodeProcess {
        NodeProcess::spawn(&self.settings, &[], &self.lines)
    }

    /// Returns whether the router has exited by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().unwrap().has_ended()
    }

    /// Returns the address for requests from other nodes.
    pub fn hops(&self) -> SocketAddr {
        SocketAddr::new(self.clients.ip(), 7_620)
    }

    /// Returns the address for requests from clients.
    pub fn clients(&self) -> SocketAddr {
        self.clients
    }

    /// Returns the address for questions whether the node is ready.
    pub fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns the address for heartbeats of the server.
    pub fn control(&self) -> SocketAddr {
        self.server.addresses().0
    }

    /// Returns the address of the metrics page in a world with limits.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.clients.ip(), METRICS_PORT)
    }

    pub fn process(&self) -> &NodeProcess {
        self.process.as_ref().unwrap()
    }
}
