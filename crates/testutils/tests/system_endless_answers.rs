//! Answers without end from the backend server beside a node: the node's memory, by a real process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod endless_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use endless_support::EndlessBytes;
use endless_support::EndlessServer;
use quetzalrack_testutils::environment::EnvironmentPlan;
use quetzalrack_testutils::poll::poll_until;
use quetzalrack_testutils::process::ProcessUsage;
use quetzalrack_testutils::trial::SystemTrial;
use serde_json::Value;
use tokio::task::JoinHandle;

const HEAD: &str = "HTTP/1.1 200 OK\r\nquetzalrack-attempt: ATTEMPT\r\n";
/// What a node may grow by; the same bound as that of large bodies.
const MAX_GROWTH_BYTES: u64 = 16_000_000;
/// How many requests are sent at once: as many as the server has slots.
const CROWD: usize = 18;
const WORK_PATH: &str = "/proofs/";
const PATIENCE: Duration = Duration::from_secs(30);
/// How much of an answer a caller reads before it closes.
const MAX_READ_BYTES: usize = 1_000_000;

/// Records the most memory that a process uses.
struct MemoryWatch {
    most: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl MemoryWatch {
    fn start(process: u32) -> Self {
        let most = Arc::new(AtomicU64::new(0));
        let seen = Arc::clone(&most);
        let task = tokio::spawn(async move {
            while let Some(usage) = ProcessUsage::read(process) {
                seen.fetch_max(usage.memory, Ordering::SeqCst);
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        });
        Self { most, task }
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts an environment of one host, with a server of the test's own.
async fn start() -> (SystemTrial, EndlessServer) {
    let plan = SystemTrial::plan(&["proof-desk"]).unwrap();
    let mut document: Value = serde_json::from_str(&plan.text).unwrap();
    document["services"][0]["servers"] = 1.into();
    let plan = EnvironmentPlan {
        folder: plan.folder,
        tuning: plan.tuning,
        ..EnvironmentPlan::from_text(&document.to_string()).unwrap()
    };
    let mut trial = SystemTrial::start(plan).await.unwrap();
    let host = &mut trial.environment.hosts[0];
    host.kill_backend().await.unwrap();
    let admin = host.addresses().unwrap().admin;
    let server =
        EndlessServer::start(host.plan.service.clone(), host.plan.server.clone(), admin).await;
    served(&trial).await;
    (trial, server)
}

/// Waits until an ordinary request is answered.
async fn served(trial: &SystemTrial) {
    let node = trial.nodes()[0];
    let answered = poll_until(PATIENCE, || async { is_answered(node).await.then_some(()) });
    assert!(answered.await.is_some(), "no request is answered");
}

/// Sends a request and returns whether a whole success came; a body without end is closed.
async fn is_answered(node: SocketAddr) -> bool {
    let url = format!("http://{node}{WORK_PATH}poster-1");
    let caller = reqwest::Client::builder()
        .timeout(PATIENCE)
        .build()
        .unwrap();
    let Ok(mut response) = caller.get(url).send().await else {
        return false;
    };
    let mut length = 0;
    while let Ok(piece) = response.chunk().await {
        let Some(piece) = piece else {
            return response.status().is_success();
        };
        length += piece.len();
        if length > MAX_READ_BYTES {
            return false;
        }
    }
    false
}

fn memory(trial: &SystemTrial) -> u64 {
    let node = trial.environment.hosts[0].node().unwrap();
    node.usage().unwrap().memory
}

/// Returns by how many bytes a node's memory grows while `act` runs and until the next request is served.
async fn growth<F>(trial: &SystemTrial, server: &EndlessServer, act: F) -> u64
where
    F: Future<Output = ()>,
{
    let before = memory(trial);
    let begun = server.endless_count();
    let watch = MemoryWatch::start(trial.environment.hosts[0].node().unwrap().id());
    act.await;
    server.set(None);
    served(trial).await;
    assert!(server.endless_count() > begun, "nothing was sent");
    watch.most.load(Ordering::SeqCst).saturating_sub(before)
}

/// Guards against a node that keeps what has no end in the answers to callers' requests, in each part of an answer.
#[tokio::test(flavor = "multi_thread")]
async fn endless_work() {
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    let over = format!("{HEAD}content-length: 5\r\n\r\nhello");
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let hints = "HTTP/1.1 103 Early Hints\r\nlink: ";
    let ways = [
        ("junk", String::new(), "x7 "),
        ("status line", "HTTP/1.1 200 ".to_owned(), "x"),
        ("header name", HEAD.to_owned(), "x"),
        ("header value", format!("{HEAD}x-long: "), "x"),
        ("headers", HEAD.to_owned(), "x-other: 1\r\n"),
        ("interim answers", String::new(), interim),
        ("interim header", hints.to_owned(), "x"),
        ("chunk size", chunked.clone(), "0"),
        ("chunk extension", format!("{chunked}5;"), "x"),
        ("small chunks", chunked.clone(), "1\r\nx\r\n"),
        ("trailers", format!("{chunked}0\r\n"), "x-other: 1\r\n"),
        ("body", format!("{HEAD}\r\n"), "x"),
        ("over the length", over.clone(), "x"),
        ("further answers", over, interim),
    ];
    let (trial, server) = start().await;
    let mut exceeded = Vec::new();
    let node = trial.nodes()[0];
    for (way, start, repeated) in ways {
        server.set(Some(EndlessBytes {
            path: WORK_PATH,
            start,
            repeated: repeated.to_owned(),
        }));
        let calls = (0..CROWD).map(|_| is_answered(node));
        let act = async {
            futures::future::join_all(calls).await;
        };
        let grown = growth(&trial, &server, act).await;
        if grown > MAX_GROWTH_BYTES {
            exceeded.push((way, grown));
        }
    }
    assert_eq!(exceeded, []);
}

/// Guards against a node that keeps what has no end in the answers to its own requests: probes, grants and cancellations.
#[tokio::test(flavor = "multi_thread")]
async fn endless_control() {
    let body = |status: &str| format!("HTTP/1.1 {status}\r\ntransfer-encoding: chunked\r\n\r\n");
    let chunk = format!("4000\r\n{}\r\n", " ".repeat(0x4000));
    let (trial, server) = start().await;
    let mut exceeded = Vec::new();
    for (path, status) in [
        ("/control/health", "200 OK"),
        ("/control/grants", "409 Conflict"),
        ("/control/grants", "200 OK"),
        ("/control/", "500 Failed"),
    ] {
        server.set(Some(EndlessBytes {
            path,
            start: body(status),
            repeated: chunk.clone(),
        }));
        let begun = server.endless_count();
        server.restart();
        let act = async {
            let sent = poll_until(PATIENCE, || async {
                (server.endless_count() > begun).then_some(())
            });
            assert!(sent.await.is_some(), "{path} was not asked for");
            // Longer than a probe may take.
            tokio::time::sleep(Duration::from_millis(2_500)).await;
        };
        let grown = growth(&trial, &server, act).await;
        if grown > MAX_GROWTH_BYTES {
            exceeded.push((path, status, grown));
        }
    }
    assert_eq!(exceeded, []);
}
