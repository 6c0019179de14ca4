//! Under overload, backend servers get no more than their capacity and high-priority requests are
//! served.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_node::shared::TrafficControl;
use tokio::time::Instant;
use traffic_support::TestCluster;
use traffic_support::eventually;

#[derive(Default)]
struct Tally {
    completed: AtomicUsize,
    not_run: AtomicUsize,
    other: AtomicUsize,
}

/// Sends requests at a steady rate without waiting for earlier ones, then waits for all responses.
async fn send_load(cluster: &TestCluster, path: &str, rate: u32, span: Duration) -> Arc<Tally> {
    let tally = Arc::new(Tally::default());
    let count = (span.as_secs_f64() * f64::from(rate)) as u32;
    let start = Instant::now();
    let mut calls = Vec::new();
    for n in 0..count {
        tokio::time::sleep_until(start + Duration::from_secs(1) * n / rate).await;
        let node = n as usize % cluster.nodes.len();
        let request = cluster
            .caller
            .get(cluster.url(node, &format!("{path}/{n}")));
        let tally = Arc::clone(&tally);
        calls.push(tokio::spawn(async move {
            let response = request.send().await.unwrap();
            let status = response.status();
            let text = response.text().await.unwrap();
            let place = match status.as_u16() {
                200 => &tally.completed,
                _ if text.contains(r#""outcome":"not_run""#) => &tally.not_run,
                _ => &tally.other,
            };
            place.fetch_add(1, Ordering::SeqCst);
        }));
    }
    for call in calls {
        call.await.unwrap();
    }
    tally
}

fn count(of: &AtomicUsize) -> usize {
    of.load(Ordering::SeqCst)
}

fn runs(cluster: &TestCluster) -> usize {
    cluster
        .nodes
        .iter()
        .map(|node| node.server.runs().len())
        .sum()
}

/// Two backend servers of 8 slots and 40 ms serve 400 requests a second. For three seconds 800 a
/// second arrive, half of them job history of low priority. The backend servers stay at full rate,
/// the high-priority half is served almost completely, and every "not run" refusal is true.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn twice_capacity() {
    let cluster = TestCluster::start("orders", 2, Duration::from_millis(40)).await;
    cluster.warm_up().await;
    let before = runs(&cluster);
    let span = Duration::from_secs(3);
    let (high, low) = tokio::join!(
        send_load(&cluster, "/orders", 400, span),
        send_load(&cluster, "/history", 400, span),
    );
    let completed = count(&high.completed) + count(&low.completed);
    let (rate, capacity) = (completed as f64 / span.as_secs_f64(), 400.0);
    assert!(rate >= 0.95 * capacity, "goodput {rate}");
    let served = count(&high.completed) as f64 / 1_200.0;
    assert!(served > 0.9, "high priority {served}");
    let ran = runs(&cluster) - before;
    let not_run = count(&high.not_run) + count(&low.not_run);
    assert!(ran + not_run <= 2_400 + 240, "ran {ran}, not run {not_run}");
    assert!(ran >= completed);
    assert!(
        cluster
            .nodes
            .iter()
            .all(|node| node.server.take_peak() <= 8)
    );
    // Each announced that it accepts 40 connections.
    assert!(
        cluster
            .nodes
            .iter()
            .all(|node| node.server.connections() <= 40)
    );
}

/// After a spike, load of half the capacity is served completely at once: retries must not sustain
/// the overload.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_spike() {
    let cluster = TestCluster::start("orders", 2, Duration::from_millis(40)).await;
    cluster.warm_up().await;
    send_load(&cluster, "/orders", 1_200, Duration::from_secs(1)).await;
    let recovered = send_load(&cluster, "/orders", 200, Duration::from_secs(1)).await;
    assert!(
        count(&recovered.completed) >= 195,
        "{}",
        count(&recovered.completed)
    );
}

/// Every backend server sheds everything. Requests are retried from the retry budget only, so the
/// backend servers see few more requests than the callers sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_storm() {
    let cluster = TestCluster::start("orders", 2, Duration::from_millis(1)).await;
    cluster.warm_up().await;
    for node in &cluster.nodes {
        node.server.set_shed(true);
    }
    let before: usize = cluster
        .nodes
        .iter()
        .map(|node| node.server.shed_count())
        .sum();
    let load = send_load(&cluster, "/orders", 500, Duration::from_secs(2)).await;
    assert_eq!(count(&load.not_run), 1_000);
    let seen: usize = cluster
        .nodes
        .iter()
        .map(|node| node.server.shed_count())
        .sum();
    // Each of the two ingress nodes starts with a budget of 20.
    assert!(seen - before <= 1_000 + 40, "{}", seen - before);
}

/// A zone returns and all its backend servers start cold under full load. None gets more than its
/// cold bound until it has warmed up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_servers_cold() {
    let cluster = TestCluster::start("orders", 3, Duration::from_millis(5)).await;
    cluster.warm_up().await;
    for node in &cluster.nodes {
        eventually("idle", || node.server.running() == 0).await;
        // From here on the node must keep to the cold bound, even before it reads the announcement.
        node.announce(2, ServerState::Cold);
        node.server.take_peak();
    }
    send_load(&cluster, "/orders", 1_000, Duration::from_millis(250)).await;
    for node in &cluster.nodes {
        assert!(node.server.take_peak() <= 2);
        node.announce(2, ServerState::Warm);
    }
    send_load(&cluster, "/orders", 1_000, Duration::from_millis(800)).await;
    assert!(
        cluster
            .nodes
            .iter()
            .any(|node| node.traffic.stats().limit.0 > 2)
    );
}

/// A backend server turns cold under load without announcing it. Its node detects this and lowers
/// the limit to the cold bound within a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_cold() {
    let cluster = TestCluster::start("proofs", 1, Duration::from_millis(10)).await;
    cluster.warm_up().await;
    let node = &cluster.nodes[0];
    node.server.set_cold_bound(2);
    let traffic = &node.traffic;
    let load = send_load(&cluster, "/proofs", 500, Duration::from_millis(500));
    let seen = async {
        eventually("cold", || traffic.stats().state == ServerState::Cold).await;
        eventually("drained", || node.server.running() <= 2).await;
        node.server.take_peak();
        tokio::time::sleep(Duration::from_millis(150)).await;
        node.server.take_peak()
    };
    let (_, peak) = tokio::join!(load, seen);
    assert!(peak <= 2, "{peak}");
}

/// A backend server freezes with eight requests in flight. Their callers get responses by their
/// deadlines, the slots stay occupied until the thaw, and no late response reaches another caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_server() {
    let cluster = TestCluster::start("proofs", 2, Duration::from_millis(10)).await;
    cluster.warm_up().await;
    let node = &cluster.nodes[0];
    node.server.set_frozen(true);
    let start = Instant::now();
    let cluster = &cluster;
    let calls = (0..30).map(|n| async move {
        let response = cluster.get(1, &format!("/proofs/f{n}")).await;
        (response.status().as_u16(), response.text().await.unwrap())
    });
    let responses = futures::future::join_all(calls).await;
    assert!(start.elapsed() < Duration::from_millis(2_500));
    assert!(
        responses.iter().all(|response| response.0 >= 500),
        "{responses:?}"
    );
    assert_eq!(node.traffic.stats().in_flight.0, 8);
    node.server.set_frozen(false);
    eventually("free", || node.traffic.stats().in_flight.0 == 0).await;
    for n in 0..20 {
        let response = cluster.get(1, &format!("/proofs/g{n}")).await;
        assert_eq!(
            response.text().await.unwrap(),
            format!("answer to /proofs/g{n}")
        );
    }
    assert!(node.server.take_peak() <= 8);
}

/// One of four backend servers becomes ten times slower. Every request still succeeds: the
/// slow server's share drops sharply, and the requests it still gets are hedged at another server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn straggler_loses_share() {
    let cluster = TestCluster::start("orders", 4, Duration::from_millis(5)).await;
    cluster.warm_up().await;
    cluster.nodes[2].server.set_work(Duration::from_millis(50));
    send_load(&cluster, "/orders", 300, Duration::from_secs(1)).await;
    let before: Vec<usize> = cluster
        .nodes
        .iter()
        .map(|node| node.server.runs().len())
        .collect();
    let slowed = send_load(&cluster, "/orders", 300, Duration::from_secs(2)).await;
    assert_eq!(count(&slowed.completed), 600);
    let share = |index: usize| cluster.nodes[index].server.runs().len() - before[index];
    assert!(share(2) < 30, "{}", share(2));
    cluster.nodes[2].server.set_work(Duration::from_millis(5));
    send_load(&cluster, "/orders", 300, Duration::from_secs(3)).await;
    let before = cluster.nodes[2].server.runs().len();
    send_load(&cluster, "/orders", 300, Duration::from_secs(1)).await;
    let back = cluster.nodes[2].server.runs().len() - before;
    assert!(back > 20, "{back}");
}

/// A node shuts down under load: no request is cut off, and the port is closed afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn finish_under_load() {
    let cluster = TestCluster::start("orders", 2, Duration::from_millis(30)).await;
    cluster.warm_up().await;
    let done = tokio::sync::Notify::new();
    let url = cluster.url(0, "/orders");
    let calls = (0..16).map(|n| {
        let (url, done, caller) = (&url, &done, cluster.caller.clone());
        async move {
            let mut completed = 0;
            let mut stop = std::pin::pin!(done.notified());
            loop {
                // A response that closes the connection tells the caller to use another node.
                let response = caller.get(format!("{url}/{n}")).send().await.unwrap();
                let closing = response.headers().get("connection").is_some();
                assert_eq!(response.status(), 200);
                response.bytes().await.unwrap();
                completed += 1;
                if closing || futures::poll!(&mut stop).is_ready() {
                    return completed;
                }
            }
        }
    });
    let finish = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        cluster.nodes[0].traffic.finish().await;
        done.notify_waiters();
    };
    let (counts, ()) = tokio::join!(futures::future::join_all(calls), finish);
    assert!(counts.iter().all(|count: &i32| *count > 2), "{counts:?}");
    assert!(
        cluster
            .caller
            .get(cluster.url(0, "/orders/1"))
            .send()
            .await
            .is_err()
    );
}
