//! Measures what control costs each node of a cell, without any traffic.
//!
//! `cargo run --release -p quetzalrack-node --example control_cost -- NODES SECONDS` runs a whole
//! cell in this process, with real sockets and the log service's stand-in, and prints one line of
//! JSON with the controller's cost and the mean and greatest of the other nodes'.
#![allow(clippy::unwrap_used)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use quetzalrack_core::boundary::Stream;
use quetzalrack_node::Node;
use quetzalrack_node::RunningNode;
use quetzalrack_wire::status::NodeStatus;
use serde::Serialize;
use serde_json::json;
use support::GrantingBackend;
use support::MemoryLog;
use support::announce;
use support::publish_andina;
use support::settings;
use support::status_of;
use support::zone_out_record;

const SERVICES: [&str; 4] = ["proof-desk", "order-book", "artwork-store", "job-history"];
const ZONES: [&str; 4] = ["suba", "chapinero", "usaquen", "fontibon"];
const SETTLE: Duration = Duration::from_secs(15);

/// Is one node's cost over the measured time.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
struct Cost {
    cpu_percent: f64,
    peer_out: f64,
    peer_in: f64,
    datagrams: f64,
    log_in: f64,
}

#[tokio::main]
async fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse().unwrap());
    let count: usize = arguments.next().unwrap_or(16);
    let seconds = arguments.next().unwrap_or(10) as u64;
    let log = start_log().await;
    let nodes: Vec<RunningNode> = (0..count).map(|index| start_node(index, &log)).collect();
    let admins: Vec<_> = nodes.iter().map(|node| node.listening().admin).collect();
    tokio::spawn(async move {
        loop {
            for (index, admin) in admins.iter().enumerate() {
                let service = SERVICES[index % SERVICES.len()];
                announce(*admin, service, &format!("{service}-{index}")).await;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    tokio::time::sleep(SETTLE).await;
    let before = statuses(&nodes).await;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = statuses(&nodes).await;
    let spread = change_intent(&nodes, &log).await;
    report(&before, &after, &spread);
}

/// Takes a zone out and returns, for each node in the order in which they followed, after how many
/// milliseconds the order was in force there.
async fn change_intent(nodes: &[RunningNode], log: &str) -> Vec<u128> {
    let started = Instant::now();
    let stream = Stream::Intent("andina".parse().unwrap());
    append(log, &stream, zone_out_record("suba", 1)).await;
    let mut spread = Vec::new();
    while spread.len() < nodes.len() && started.elapsed() < Duration::from_secs(30) {
        let follows = |node: &&RunningNode| {
            let intent = node.view().intent.load();
            intent.as_ref().is_some_and(|intent| intent.version.0 == 2)
        };
        let followed = nodes.iter().filter(follows).count();
        spread.resize(followed, started.elapsed().as_millis());
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    spread
}

async fn append(log: &str, stream: &Stream, record: Vec<u8>) {
    let url = format!("{log}/streams/{stream}/records");
    let sent = reqwest::Client::new().post(url).body(record).send();
    assert!(sent.await.unwrap().status().is_success());
}

/// Starts the log service's stand-in with Andina's document in force.
async fn start_log() -> String {
    let settings = serde_json::from_value(json!({})).unwrap();
    let server = quetzalrack_standins::log_service::log_server(settings);
    let (told, hears) = tokio::sync::oneshot::channel();
    let told = std::sync::Mutex::new(Some(told));
    let server = server.attach(rocket::fairing::AdHoc::on_liftoff("told", move |rocket| {
        Box::pin(async move {
            let port = rocket.config().port;
            if let Some(told) = told.lock().unwrap().take() {
                told.send(port).unwrap();
            }
        })
    }));
    std::thread::spawn(|| rocket::execute(server.launch()).map(|_| ()).unwrap());
    let base = format!("http://127.0.0.1:{}", hears.await.unwrap());
    let memory = MemoryLog::default();
    publish_andina(&memory);
    let stream = Stream::Intent("andina".parse().unwrap());
    for record in memory.records(&stream) {
        append(&base, &stream, record).await;
    }
    base
}

fn start_node(index: usize, log: &str) -> RunningNode {
    let mut settings = settings(&format!("node-{index}"), ZONES[index / 4 % 4], &[]);
    settings.log = log.to_owned();
    let mut node = Node::open(settings).unwrap();
    node.boundaries.backend = Arc::new(GrantingBackend::default());
    node.spawn().unwrap()
}

async fn statuses(nodes: &[RunningNode]) -> Vec<NodeStatus> {
    let mut statuses = Vec::new();
    for node in nodes {
        statuses.push(status_of(node).await);
    }
    statuses
}

fn report(before: &[NodeStatus], after: &[NodeStatus], spread: &[u128]) {
    let mut controller = Cost::default();
    let mut others = Vec::new();
    for (before, after) in before.iter().zip(after) {
        let cost = cost_between(before, after);
        match &after.controller {
            Some(followed) if followed.here => controller = cost,
            _ => others.push(cost),
        }
    }
    let leases: usize = after.iter().map(|status| status.leases.len()).sum();
    let line = json!({
        "nodes": after.len(),
        "leases": leases,
        "in_force_at": spread.len(),
        "in_force_median_ms": spread.get(spread.len() / 2),
        "in_force_worst_ms": spread.last(),
        "controller": controller,
        "mean": fold(&others, |values| values.iter().sum::<f64>() / values.len() as f64),
        "greatest": fold(&others, |values| values.iter().copied().fold(0.0, f64::max)),
    });
    println!("{line}");
}

fn cost_between(before: &NodeStatus, after: &NodeStatus) -> Cost {
    let (b, a) = (&before.cost, &after.cost);
    let seconds = (a.uptime_ms - b.uptime_ms) as f64 / 1e3;
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
    Cost {
        cpu_percent: rate(a.control_us, b.control_us) / 1e4,
        peer_out: rate(a.peer_out.0, b.peer_out.0),
        peer_in: rate(a.peer_in.0, b.peer_in.0),
        datagrams: rate(
            a.datagrams_in + a.datagrams_out,
            b.datagrams_in + b.datagrams_out,
        ),
        log_in: rate(a.log_in.0 + a.log_out.0, b.log_in.0 + b.log_out.0),
    }
}

fn fold<F>(costs: &[Cost], fold: F) -> Cost
where
    F: Fn(&[f64]) -> f64,
{
    let of = |pick: fn(&Cost) -> f64| fold(&costs.iter().map(pick).collect::<Vec<_>>());
    Cost {
        cpu_percent: of(|cost| cost.cpu_percent),
        peer_out: of(|cost| cost.peer_out),
        peer_in: of(|cost| cost.peer_in),
        datagrams: of(|cost| cost.datagrams),
        log_in: of(|cost| cost.log_in),
    }
}
