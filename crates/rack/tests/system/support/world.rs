//! Hosts on loopback, each with a server and the real program.

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

/// The first three bytes of the loopback addresses of this test process's hosts; two tests run at
/// the same time, also in different processes, and must not share ports.
static NEXT_SUBNET: AtomicU64 = AtomicU64::new(1);

/// Keys that are asked for to know whether all are served.
const SAMPLE_KEYS: [u16; 8] = [0, 9_000, 18_000, 27_000, 36_000, 45_000, 54_000, 65_535];

/// A link that holds nothing up, in Mbit/s.
const FAST_LINK_MBPS: f64 = 1_000.0;

/// Is a platform with its hosts.
pub struct World {
    pub store: StandInStore,
    pub hosts: Vec<Host>,
    pub truth: Arc<Truth>,
    folder: TempDir,
    http: reqwest::Client,
    /// The first three bytes of the hosts' addresses.
    subnet: String,
    /// The bandwidth of the hosts' links, in Mbit/s.
    link: f64,
    /// How servers are granted keys, in the words of the settings.
    grants: &'static str,
    /// How many hosts there ever were; their names and addresses are not used again.
    host_count: usize,
}

/// Is one host.
pub struct Host {
    pub server: StandInServer,
    /// This host's way to the store.
    pub store: StoreEndpoint,
    pub(super) clients: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    process: Option<NodeProcess>,
    lines: Lines,
}

/// Is what a client response.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientResponse {
    pub status: Option<StatusCode>,
    pub body: String,
    pub retry_after: Option<String>,
}

impl World {
    /// Starts hosts, each for one service; services named `keyed` are divided by key.
    pub async fn start(services: &[&str]) -> Self {
        Self::start_with(services, FAST_LINK_MBPS, "heartbeat").await
    }

    /// Starts hosts whose servers are granted keys by call.
    pub async fn start_by_call(services: &[&str]) -> Self {
        Self::start_with(services, FAST_LINK_MBPS, "request").await
    }

    /// Starts hosts whose links are this wide, in Mbit/s.
    pub async fn start_with_link(services: &[&str], link: f64) -> Self {
        Self::start_with(services, link, "heartbeat").await
    }

    async fn start_with(services: &[&str], link: f64, grants: &'static str) -> Self {
        let subnet = format!(
            "127.{}.{}",
            1 + std::process::id() % 250,
            NEXT_SUBNET.fetch_add(1, Ordering::Relaxed)
        );
        let (store, _) = StandInStore::bind(&format!("{subnet}.200")).await;
        store.write("config", &config(1, 1_000));
        let folder = tempfile::tempdir().unwrap();
        let mut world = Self {
            store,
            hosts: Vec::new(),
            truth: Arc::default(),
            folder,
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            subnet,
            link,
            grants,
            host_count: 0,
        };
        for service in services {
            world.add_host(service).await;
        }
        for place in 0..services.len() {
            world.start_node(place);
        }
        world
    }

    /// Adds a host with its server; its node is still to be started. Returns its place.
    pub async fn add_host(&mut self, service: &str) -> usize {
        let host = self.host(self.host_count, service).await;
        self.host_count += 1;
        self.hosts.push(host);
        self.hosts.len() - 1
    }

    async fn host(&self, place: usize, service: &str) -> Host {
        let ip = format!("{}.{}", self.subnet, place + 1);
        let (store_endpoint, store) = self.store.open_endpoint(&ip).await;
        // Every host has an address of its own, so all use the same ports, below those that the
        // kernel gives to outgoing connections.
        let port = |port| SocketAddr::new(ip.parse().unwrap(), port);
        let [clients, readiness, control, server] = [8_304, 8_302, 8_306, 8_301].map(port);
        let text = settings(
            &ip,
            place,
            service,
            store,
            [clients, readiness, control, server],
            self.link,
        );
        let text = text.replace(
            "grants = \"heartbeat\"",
            &format!("grants = {:?}", self.grants),
        );
        let path = self.folder.path().join(format!("settings-{place}.toml"));
        fs::write(&path, text).unwrap();
        let plan = ServerPlan {
            id: format!("server-{place}"),
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
        self.store.write("config", &config(version, 1_000));
    }

    /// Writes a new configuration as soon as a node has read the first of several pages of what is newest.
    pub fn write_config_between_pages(&self, version: u64) {
        self.store
            .write_between_pages("config", &config(version, 1_000));
    }

    /// Writes a new configuration whose routes wait for twenty seconds.
    pub fn write_long_timeout_config(&self, version: u64) {
        self.store.write("config", &config(version, 20_000));
    }

    fn build_request(&self, place: usize, id: &str, path: &str, timeout_ms: u32) -> RequestBuilder {
        let url = format!("http://{}{path}", self.hosts[place].clients);
        self.http
            .get(url)
            .header("host", "shop.example")
            .header("x-request-id", id)
            .header("x-deadline-ms", timeout_ms.to_string())
    }

    /// Sends a request whose client waits for less time than any attempt needs.
    pub async fn request_with_short_timeout(
        &self,
        place: usize,
        id: &str,
        path: &str,
    ) -> Option<StatusCode> {
        let request = self.build_request(place, id, path, 30);
        let answer = request.send().await;
        answer.ok().map(|answer| answer.status())
    }

    /// Sends a request whose client waits for twenty seconds; nothing if the connection ends
    /// without an answer.
    pub async fn request_with_long_timeout(
        &self,
        place: usize,
        id: &str,
        path: &str,
    ) -> Option<StatusCode> {
        let request = self.build_request(place, id, path, 20_000);
        let answer = request.send().await;
        answer.ok().map(|answer| answer.status())
    }

    /// Sends a request whose client waits for twenty seconds, and returns how long its answer is;
    /// nothing unless it came whole.
    pub async fn fetch_with_long_timeout(
        &self,
        place: usize,
        id: &str,
        path: &str,
    ) -> Option<usize> {
        let request = self.build_request(place, id, path, 20_000);
        let answer = request.send().await.ok()?;
        answer.bytes().await.ok().map(|body| body.len())
    }

    /// Replaces a text in the settings file of a host, and says nothing of it to the program.
    pub fn change_settings(&self, place: usize, from: &str, to: &str) {
        let path = &self.hosts[place].settings;
        let text = fs::read_to_string(path).unwrap();
        assert!(text.contains(from));
        fs::write(path, text.replace(from, to)).unwrap();
    }

    /// Tells the program on a host that its settings file has changed.
    pub fn send_sighup(&self, place: usize) {
        self.hosts[place].process().signal(Signal::HUP);
    }

    /// Returns the place of the node that leads, by its log.
    pub fn leader(&self) -> usize {
        let newest = |place: &usize| {
            let lines = self.lines(*place, "event", "leads");
            lines.iter().filter_map(|line| line["epoch"].as_u64()).max()
        };
        (0..self.hosts.len()).max_by_key(newest).unwrap()
    }

    /// Starts the program on a host.
    pub fn start_node(&mut self, place: usize) {
        let host = &mut self.hosts[place];
        host.process = Some(NodeProcess::spawn(&host.settings, &[], &host.lines));
    }

    /// Starts the program on a host with a reader of its output that never reads.
    pub fn start_node_unread(&mut self, place: usize) {
        let host = &mut self.hosts[place];
        host.process = Some(NodeProcess::spawn_unread(&host.settings, &[]));
    }

    /// Kills the program on a host.
    pub fn kill_node(&mut self, place: usize) {
        self.hosts[place].process = None;
    }

    /// Tells the program on a host to leave.
    pub fn terminate_node(&self, place: usize) {
        self.hosts[place].process().signal(Signal::TERM);
    }

    /// Waits until the program on a host has ended by itself.
    pub async fn wait_for_exit(&mut self, place: usize, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.hosts[place].process.as_mut().unwrap().has_ended() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Returns the lines that the program on a host has logged, with a field of this value.
    pub fn lines(&self, place: usize, field: &str, value: &str) -> Vec<Value> {
        let lines = self.hosts[place].lines.lock().unwrap();
        lines
            .iter()
            .filter(|line| line[field] == value)
            .cloned()
            .collect()
    }

    /// Tells whether a host says that it is ready.
    pub async fn is_ready(&self, place: usize) -> bool {
        let url = format!("http://{}/readiness", self.hosts[place].readiness);
        self.http
            .get(url)
            .send()
            .await
            .is_ok_and(|answer| answer.status().is_success())
    }

    /// Sends a request to a host; the path's first part names its route.
    pub async fn request(
        &self,
        place: usize,
        id: &str,
        path: &str,
        key: Option<u16>,
    ) -> ClientResponse {
        let request = self.build_request(place, id, path, 1_500);
        let mut request = request.header("x-caller-service", "a-lie");
        if let Some(key) = key {
            request = request.header("x-shard-key", key.to_string());
        }
        let Ok(answer) = request.send().await else {
            return ClientResponse {
                status: None,
                body: String::new(),
                retry_after: None,
            };
        };
        let retry_after = answer.headers().get("retry-after");
        ClientResponse {
            status: Some(answer.status()),
            retry_after: retry_after.map(|value| value.to_str().unwrap().to_owned()),
            body: answer.text().await.unwrap_or_default(),
        }
    }

    /// Returns after which time every key of a sample is served at every host, to a fifth of a second:
    /// checks follow one another sooner than a request without an owner is refused.
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
        let places = 0..self.hosts.len();
        let asks = places.flat_map(|place| SAMPLE_KEYS.map(|key| (place, key)));
        let asks = asks.map(|(place, key)| async move {
            let id = format!("look-{key}");
            self.request(place, &id, "/keyed/1", Some(key)).await.status
        });
        let statuses = futures::future::join_all(asks).await;
        statuses
            .iter()
            .all(|status| *status == Some(StatusCode::OK))
    }

    /// Waits until every key of a sample is served at every host.
    pub async fn wait_until_served(&self, timeout: Duration) -> Duration {
        let started = Instant::now();
        loop {
            let mut served = 0;
            for place in 0..self.hosts.len() {
                for key in SAMPLE_KEYS {
                    let response = self
                        .request(place, &format!("settle-{key}"), "/keyed/1", Some(key))
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

impl Drop for World {
    /// Keeps what the programs have logged if the test has failed, or `QUETZALRACK_TEST_LOGS` is set.
    fn drop(&mut self) {
        if !std::thread::panicking() && std::env::var_os("QUETZALRACK_TEST_LOGS").is_none() {
            return;
        }
        let lines = self.hosts.iter().map(|host| &host.lines);
        keep_logs(&format!("quetzalrack-world-{}", self.subnet), lines);
    }
}

impl Host {
    /// Starts the program on a host that is no part of its world yet.
    pub fn spawn(&self) -> NodeProcess {
        NodeProcess::spawn(&self.settings, &[], &self.lines)
    }

    /// Tells whether the program has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().unwrap().has_ended()
    }

    /// Returns where other nodes send requests.
    pub fn hops(&self) -> SocketAddr {
        SocketAddr::new(self.clients.ip(), 7_620)
    }

    /// Returns the program's process.
    pub fn process(&self) -> &NodeProcess {
        self.process.as_ref().unwrap()
    }
}
