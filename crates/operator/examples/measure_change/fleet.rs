//! Many nodes in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use quetzalrack_core::ids::Version;
use quetzalrack_core::security::KeyError;
use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::KeySettings;
use quetzalrack_node::Node;
use quetzalrack_node::RunningNode;
use quetzalrack_node::platform::LogCounters;
use quetzalrack_node::settings::NodeSettings;
use quetzalrack_node::shared::SharedView;
use serde_json::json;
use tokio::task::JoinHandle;

use crate::Failure;
use crate::no_log::NoLog;
use crate::observation::Arrival;

const ZONES: [&str; 4] = ["chapinero", "usaquen", "fontibon", "suba"];
/// One node in so many can't reach the log.
const BLIND: usize = 8;
const SEEDS: usize = 8;
const PERIOD: Duration = Duration::from_millis(1);
const LONGEST: Duration = Duration::from_secs(30);

/// Is a running fleet.
pub struct Fleet {
    nodes: Vec<FleetNode>,
    operator: KeySettings,
}

struct FleetNode {
    node: RunningNode,
    counters: Arc<LogCounters>,
    reads_log: bool,
}

impl Fleet {
    pub fn start(size: usize, log: &str) -> Result<Self, Failure> {
        let key = |id: &str| KeySettings {
            id: id.to_owned(),
            secret: "ab".repeat(32),
        };
        let (nodes, operator) = (key("nodes"), key("operators"));
        let mut fleet = Self {
            nodes: Vec::with_capacity(size),
            operator: operator.clone(),
        };
        for index in 0..size {
            let settings: NodeSettings = serde_json::from_value(json!({
                "environment": "andina", "stage": "production", "node": format!("node-{index}"),
                "zone": ZONES[index % ZONES.len()], "address": "127.0.0.1", "log": log,
                "seeds": fleet.seeds(), "node_keys": [nodes], "operator_keys": [operator],
                "threads": 1
            }))?;
            let mut node = Node::open(settings)?;
            let reads_log = index % BLIND != BLIND - 1;
            if !reads_log {
                node.boundaries.log = Arc::new(NoLog);
            }
            let counters = node.boundaries.log_counters.clone();
            fleet.nodes.push(FleetNode {
                node: node.spawn()?,
                counters,
                reads_log,
            });
        }
        Ok(fleet)
    }

    pub fn operator_ring(&self) -> Result<KeyRing, KeyError> {
        KeyRing::open(std::slice::from_ref(&self.operator))
    }

    /// Returns the nodes' admin addresses.
    pub fn admins(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.iter();
        nodes.map(|node| node.node.listening().admin).collect()
    }

    /// Counts the nodes that read the log.
    pub fn readers(&self) -> usize {
        self.nodes.iter().filter(|node| node.reads_log).count()
    }

    /// Returns the bytes that all nodes read from the log.
    pub fn log_bytes(&self) -> u64 {
        let counters = self.nodes.iter().map(|node| &node.counters.bytes_in);
        counters.map(|bytes| bytes.load(Ordering::Relaxed)).sum()
    }

    pub async fn wait_for(&self, version: Version) {
        let _ = self.watch(version).await;
    }

    /// Watches, from now, until every node has a version in force or for half a minute.
    pub fn watch(&self, version: Version) -> JoinHandle<Vec<Arrival>> {
        let views: Vec<_> = self
            .nodes
            .iter()
            .map(|node| (node.node.view().clone(), node.reads_log))
            .collect();
        tokio::task::spawn_blocking(move || watch_all(&views, version))
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let readers = self.nodes.iter().filter(|node| node.reads_log);
        let addresses = readers.map(|node| node.node.listening().control);
        addresses.take(SEEDS).collect()
    }
}

fn watch_all(views: &[(Arc<SharedView>, bool)], version: Version) -> Vec<Arrival> {
    let began = Instant::now();
    let mut arrivals: Vec<Option<Duration>> = vec![None; views.len()];
    let mut newest = vec![Version::default(); views.len()];
    let mut reverts = vec![0; views.len()];
    while arrivals.contains(&None) && began.elapsed() < LONGEST {
        for (index, (view, _)) in views.iter().enumerate() {
            let seen = view
                .intent
                .load()
                .as_ref()
                .map_or(Version(0), |intent| intent.version);
            if seen < newest[index] {
                reverts[index] += 1;
            }
            newest[index] = seen;
            if seen >= version && arrivals[index].is_none() {
                arrivals[index] = Some(began.elapsed());
            }
        }
        std::thread::sleep(PERIOD);
    }
    let rows = views.iter().zip(arrivals).zip(reverts);
    rows.map(|(((_, reads_log), after), reverts)| Arrival {
        after: after.unwrap_or(LONGEST),
        reads_log: *reads_log,
        reverts,
    })
    .collect()
}
