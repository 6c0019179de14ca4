//! Nodes in one process acquire slices, each slice has one owner, and nodes release them.
#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::boundary::Clock;
use quetzalrack_core::ids::SliceId;
use quetzalrack_node::RunningNode;
use quetzalrack_node::platform::BootClock;
use quetzalrack_testutils::poll::poll_until;
use support::MemoryLog;
use support::announce;
use support::publish_andina;
use support::settings;
use support::spawn_node;

const TIMEOUT: Duration = Duration::from_secs(20);
const SLICES: usize = 16;

/// Counts the valid leases of the proof desk's slices over all nodes.
fn owners(nodes: &[RunningNode]) -> BTreeMap<SliceId, usize> {
    let mut owners = BTreeMap::new();
    let now = BootClock.now();
    for node in nodes {
        for (slice, lease) in &node.view().leases.load().leases {
            if slice.service.as_str() == "proof-desk" && lease.is_valid(now) {
                *owners.entry(slice.clone()).or_default() += 1;
            }
        }
    }
    owners
}

/// Waits until every slice has an owner; panics if a slice ever has two.
async fn wait_until_owned(nodes: &[RunningNode]) {
    let owned = poll_until(TIMEOUT, || async {
        let owners = owners(nodes);
        assert!(owners.values().all(|count| *count == 1), "{owners:?}");
        (owners.len() == SLICES).then_some(())
    });
    assert_eq!(owned.await, Some(()));
}

async fn start(log: &Arc<MemoryLog>, count: usize) -> Vec<RunningNode> {
    let zones = ["suba", "chapinero", "usaquen", "fontibon"];
    let mut nodes = Vec::new();
    for (index, zone) in zones.iter().cycle().take(count).enumerate() {
        nodes.push(spawn_node(
            settings(&format!("node-{index}"), zone, &[]),
            log,
        ));
    }
    nodes
}

/// Announces a warm server to each node periodically, as real servers do, until it is dropped.
struct Announcer(tokio::task::JoinHandle<()>);

impl Announcer {
    fn to(nodes: &[RunningNode]) -> Self {
        let admins: Vec<_> = nodes.iter().map(|node| node.listening().admin).collect();
        Self(tokio::spawn(async move {
            loop {
                for (index, admin) in admins.iter().enumerate() {
                    announce(*admin, "proof-desk", &format!("proof-desk-{index}")).await;
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }))
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_owner_each() {
    let log = Arc::new(MemoryLog::default());
    publish_andina(&log);
    let nodes = start(&log, 3).await;
    let _servers = Announcer::to(&nodes);
    wait_until_owned(&nodes).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_lost() {
    // A node crashes while the log service is down. Its leases lapse, and the others acquire its
    // slices: callers are refused for seconds, never answered by two owners.
    let log = Arc::new(MemoryLog::default());
    publish_andina(&log);
    let mut nodes = start(&log, 4).await;
    let _servers = Announcer::to(&nodes);
    wait_until_owned(&nodes).await;
    log.set_down(true);
    drop(nodes.pop());
    wait_until_owned(&nodes).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_shuts_down() {
    // A host is replaced. Its node hands every slice over before it stops, so the others own them
    // all once it reports that it has finished.
    let log = Arc::new(MemoryLog::default());
    publish_andina(&log);
    let mut nodes = start(&log, 4).await;
    let _servers = Announcer::to(&nodes);
    wait_until_owned(&nodes).await;
    let stopping = nodes.pop().unwrap();
    let mut handle = stopping.handle();
    handle.shutdown();
    tokio::time::timeout(TIMEOUT, handle.finished())
        .await
        .unwrap();
    assert!(stopping.view().leases.load().leases.is_empty());
    stopping.wait().unwrap();
    wait_until_owned(&nodes).await;
}
