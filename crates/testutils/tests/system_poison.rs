//! Requests under which backend servers end: real processes, judged by the servers that ended.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use quetzalrack_core::document::spec::Method;
use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_testutils::caller::CallReport;
use quetzalrack_testutils::caller::CallRequest;
use quetzalrack_testutils::trial::SystemTrial;
use uuid::Uuid;

/// How often a caller asks, at one node after the other.
const ATTEMPTS: usize = 16;
const PAUSE: Duration = Duration::from_millis(300);
/// Time in which a server that has ended is seen to have.
const END_TIME: Duration = Duration::from_millis(60);

async fn start(services: &[&str]) -> SystemTrial {
    let plan = SystemTrial::plan(services).unwrap();
    SystemTrial::start(plan).await.unwrap()
}

/// Starts the servers again that have ended; returns how many had.
async fn restart_ended(trial: &mut SystemTrial) -> usize {
    let mut ended = 0;
    for host in 0..trial.environment.hosts.len() {
        if trial.environment.hosts[host].take_ended_backend() {
            ended += 1;
            trial.environment.restart_backend(host).await.unwrap();
        }
    }
    ended
}

/// Asks again and again, several copies at once, at one node after the other; returns how many servers ended and
/// the last reports.
async fn ask<M>(trial: &mut SystemTrial, copies: usize, make: M) -> (usize, Vec<CallReport>)
where
    M: Fn() -> CallRequest,
{
    let mut ended = 0;
    let mut last = Vec::new();
    for attempt in 0..ATTEMPTS {
        let nodes = trial.nodes();
        let requests: Vec<CallRequest> = (0..copies).map(|_| make()).collect();
        let calls = requests.iter().enumerate().map(|(copy, request)| {
            let node = nodes[(attempt * 3 + copy) % nodes.len()];
            trial.caller.call(node, request)
        });
        last = futures::future::join_all(calls).await;
        tokio::time::sleep(END_TIME).await;
        ended += restart_ended(trial).await;
        tokio::time::sleep(PAUSE).await;
    }
    (ended, last)
}

fn check(ended: usize, most: usize, last: &[CallReport]) {
    assert!(ended <= most, "{ended} servers ended");
    for report in last {
        assert_eq!(report.code.as_deref(), Some("poison_request"));
        assert!(report.elapsed < Duration::from_millis(200));
    }
}

/// Guards against a request that any server may serve and that ends one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn any_server() {
    let mut trial = start(&["artwork-store"]).await;
    let request = || CallRequest::get("/artwork/ends-servers");
    let (ended, last) = ask(&mut trial, 1, request).await;
    check(ended, 3, &last);
}

/// Guards against copies of such a request that are sent at once.
#[tokio::test(flavor = "multi_thread")]
async fn copies() {
    let mut trial = start(&["artwork-store"]).await;
    let request = || CallRequest::get("/artwork/ends-servers");
    let (ended, last) = ask(&mut trial, 4, request).await;
    check(ended, 4, &last);
}

/// Guards against such a request for a key, which ends each owner of its slice.
#[tokio::test(flavor = "multi_thread")]
async fn owned_key() {
    let mut trial = start(&["proof-desk"]).await;
    let request = || CallRequest::get("/proofs/ends-servers");
    let (ended, last) = ask(&mut trial, 1, request).await;
    check(ended, 3, &last);
}

/// Guards against such work that must not repeat and that its caller asks for under new idempotency keys.
#[tokio::test(flavor = "multi_thread")]
async fn once() {
    let mut trial = start(&["order-book"]).await;
    let request = || {
        let mut request = CallRequest::new(Method::Post, "/orders/ends-servers");
        request.idempotency = Some(IdempotencyKey(Uuid::now_v7()));
        request
    };
    let (ended, last) = ask(&mut trial, 1, request).await;
    check(ended, 3, &last);
}

/// Guards against knowledge that ends with the process beside the ended server.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_nodes() {
    let mut trial = start(&["artwork-store"]).await;
    let request = CallRequest::get("/artwork/ends-servers");
    let mut ended = 0;
    for attempt in 0..ATTEMPTS {
        let nodes = trial.nodes();
        trial
            .caller
            .call(nodes[attempt % nodes.len()], &request)
            .await;
        tokio::time::sleep(END_TIME).await;
        let host = attempt % trial.environment.hosts.len();
        trial.environment.hosts[host].kill_node().unwrap();
        trial.environment.restart_node(host).await.unwrap();
        ended += restart_ended(&mut trial).await;
        tokio::time::sleep(PAUSE * 2).await;
    }
    assert!(ended <= 3, "{ended} servers ended");
}

/// Guards against the refusal of innocent requests, equal ones among them, whose servers crash one after the other and
/// all at once.
#[tokio::test(flavor = "multi_thread")]
async fn innocent_crashes() {
    let mut trial = start(&["artwork-store"]).await;
    let load = trial.load(Duration::from_millis(5), |count| {
        let mut request = match count % 2 {
            0 => CallRequest::get("/artwork/popular"),
            _ => CallRequest::get(&format!("/artwork/print-{count}")),
        };
        request.work_ms = Some(60);
        request
    });
    let hosts = trial.environment.hosts.len();
    for round in 0..5 {
        let crashed: Vec<usize> = (0..hosts)
            .filter(|host| round == 4 || *host == round)
            .collect();
        for host in &crashed {
            trial.environment.hosts[*host].kill_backend().await.unwrap();
        }
        tokio::time::sleep(PAUSE).await;
        for host in &crashed {
            trial.environment.restart_backend(*host).await.unwrap();
        }
        tokio::time::sleep(PAUSE * 3).await;
    }
    let reports = load.stop().await;
    let codes = reports
        .iter()
        .filter_map(|timed| timed.report.code.as_deref());
    let refused = codes.filter(|code| matches!(*code, "poison_request" | "suspected"));
    let (refused, all) = (refused.count(), reports.len());
    println!("{refused} of {all} innocent requests refused");
    assert_eq!(refused, 0);
}
