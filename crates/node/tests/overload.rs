//! Under too much load, backend servers get what they bear and the important work is served.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_node::shared::TrafficControl;
use tokio::time::Instant;
use traffic_support::Rack;
use traffic_support::eventually;

#[derive(Default)]
struct Tally {
    whole: AtomicUsize,
    not_run: AtomicUsize,
    other: AtomicUsize,
}

/// Sends requests at a steady rate, whatever becomes of the earlier ones, and waits for all.
async fn offer(rack: &Rack, path: &str, rate: u32, span: Duration) -> Arc<Tally> {
    let tally = Arc::new(Tally::default());
    let count = (span.as_secs_f64() * f64::from(rate)) as u32;
    let start = Instant::now();
    let mut calls = Vec::new();
    for n in 0..count {
        tokio::time::sleep_until(start + Duration::from_secs(1) * n / rate).await;
        let node = n as usize % rack.nodes.len();
        let request = rack.caller.get(rack.url(node, &format!("{path}/{n}")));
        let tally = Arc::clone(&tally);
        calls.push(tokio::spawn(async move {
            let answer = request.send().await.unwrap();
            let status = answer.status();
            let text = answer.text().await.unwrap();
            let place = match status.as_u16() {
                200 => &tally.whole,
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

fn runs(rack: &Rack) -> usize {
    rack.nodes.iter().map(|node| node.server.runs().len()).sum()
}

/// Two backend servers of 8 slots and 40 ms serve 400 requests a second. For three seconds 800 a
/// second arrive, half of them job history of low priority. The backend servers go on at full rate,
/// the important half is served almost whole, and every refusal that says "not run" is true.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn twice_capacity() {
    let rack = Rack::start("orders", 2, Duration::from_millis(40)).await;
    rack.warm().await;
    let before = runs(&rack);
    let span = Duration::from_secs(3);
    let (high, low) = tokio::join!(
        offer(&rack, "/orders", 400, span),
        offer(&rack, "/history", 400, span),
    );
    let whole = count(&high.whole) + count(&low.whole);
    let (rate, capacity) = (whole as f64 / span.as_secs_f64(), 400.0);
    assert!(rate >= 0.95 * capacity, "goodput {rate}");
    let served = count(&high.whole) as f64 / 1_200.0;
    assert!(served > 0.9, "high priority {served}");
    let ran = runs(&rack) - before;
    let not_run = count(&high.not_run) + count(&low.not_run);
    assert!(ran + not_run <= 2_400 + 240, "ran {ran}, not run {not_run}");
    assert!(ran >= whole);
    assert!(rack.nodes.iter().all(|node| node.server.take_peak() <= 8));
    // Each announced that it accepts 40 connections.
    assert!(
        rack.nodes
            .iter()
            .all(|node| node.server.connections() <= 40)
    );
}

/// The spike ends: load of half the capacity is served whole again at once, without a collapse that
/// feeds on its own retries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_the_spike() {
    let rack = Rack::start("orders", 2, Duration::from_millis(40)).await;
    rack.warm().await;
    offer(&rack, "/orders", 1_200, Duration::from_secs(1)).await;
    let calm = offer(&rack, "/orders", 200, Duration::from_secs(1)).await;
    assert!(count(&calm.whole) >= 195, "{}", count(&calm.whole));
}

/// Every backend server sheds everything. Callers' requests are retried from the budget only: the
/// backend servers see little more work than the callers offered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_storm() {
    let rack = Rack::start("orders", 2, Duration::from_millis(1)).await;
    rack.warm().await;
    for node in &rack.nodes {
        node.server.set_shed(true);
    }
    let before: usize = rack.nodes.iter().map(|node| node.server.shed_count()).sum();
    let storm = offer(&rack, "/orders", 500, Duration::from_secs(2)).await;
    assert_eq!(count(&storm.not_run), 1_000);
    let seen: usize = rack.nodes.iter().map(|node| node.server.shed_count()).sum();
    // Each of the two ingress nodes starts with a budget of 20.
    assert!(seen - before <= 1_000 + 40, "{}", seen - before);
}

/// A zone returns and all its backend servers start cold at once under full load. None gets more
/// than its cold bound until it has warmed up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_cold_at_once() {
    let rack = Rack::start("orders", 3, Duration::from_millis(5)).await;
    rack.warm().await;
    for node in &rack.nodes {
        eventually("idle", || node.server.running() == 0).await;
        // From here on its neighbour must hold back, also before it has looked at the news.
        node.announce(2, ServerState::Cold);
        node.server.take_peak();
    }
    offer(&rack, "/orders", 1_000, Duration::from_millis(250)).await;
    for node in &rack.nodes {
        assert!(node.server.take_peak() <= 2);
        node.announce(2, ServerState::Warm);
    }
    offer(&rack, "/orders", 1_000, Duration::from_millis(800)).await;
    assert!(
        rack.nodes
            .iter()
            .any(|node| node.traffic.stats().limit.0 > 2)
    );
}

/// A backend server turns cold without a word under load. Its neighbour goes down to the cold bound
/// by itself, within a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_cold() {
    let rack = Rack::start("proofs", 1, Duration::from_millis(10)).await;
    rack.warm().await;
    let node = &rack.nodes[0];
    node.server.set_cold_bound(2);
    let traffic = &node.traffic;
    let load = offer(&rack, "/proofs", 500, Duration::from_millis(500));
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

/// A backend server freezes with eight requests in hand. Their callers are answered by their
/// deadlines, the slots stay taken until the thaw, and no late answer reaches anybody else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_server() {
    let rack = Rack::start("proofs", 2, Duration::from_millis(10)).await;
    rack.warm().await;
    let node = &rack.nodes[0];
    node.server.set_frozen(true);
    let start = Instant::now();
    let rack = &rack;
    let calls = (0..30).map(|n| async move {
        let answer = rack.get(1, &format!("/proofs/f{n}")).await;
        (answer.status().as_u16(), answer.text().await.unwrap())
    });
    let answers = futures::future::join_all(calls).await;
    assert!(start.elapsed() < Duration::from_millis(2_500));
    assert!(answers.iter().all(|answer| answer.0 >= 500), "{answers:?}");
    assert_eq!(node.traffic.stats().in_flight.0, 8);
    node.server.set_frozen(false);
    eventually("free", || node.traffic.stats().in_flight.0 == 0).await;
    for n in 0..20 {
        let answer = rack.get(1, &format!("/proofs/g{n}")).await;
        assert_eq!(
            answer.text().await.unwrap(),
            format!("answer to /proofs/g{n}")
        );
    }
    assert!(node.server.take_peak() <= 8);
}

/// One of four backend servers becomes ten times slower. The service's callers hardly notice: its
/// share falls to a trickle, and what it still gets is sent a second time elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn straggler_loses_share() {
    let rack = Rack::start("orders", 4, Duration::from_millis(5)).await;
    rack.warm().await;
    rack.nodes[2].server.set_work(Duration::from_millis(50));
    offer(&rack, "/orders", 300, Duration::from_secs(1)).await;
    let before: Vec<usize> = rack
        .nodes
        .iter()
        .map(|node| node.server.runs().len())
        .collect();
    let slowed = offer(&rack, "/orders", 300, Duration::from_secs(2)).await;
    assert_eq!(count(&slowed.whole), 600);
    let share = |index: usize| rack.nodes[index].server.runs().len() - before[index];
    assert!(share(2) < 30, "{}", share(2));
    rack.nodes[2].server.set_work(Duration::from_millis(5));
    offer(&rack, "/orders", 300, Duration::from_secs(3)).await;
    let before = rack.nodes[2].server.runs().len();
    offer(&rack, "/orders", 300, Duration::from_secs(1)).await;
    let back = rack.nodes[2].server.runs().len() - before;
    assert!(back > 20, "{back}");
}

/// A node is asked to finish under load: not one request is cut, and the port is closed after.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn finish_under_load() {
    let rack = Rack::start("orders", 2, Duration::from_millis(30)).await;
    rack.warm().await;
    let done = tokio::sync::Notify::new();
    let url = rack.url(0, "/orders");
    let calls = (0..16).map(|n| {
        let (url, done, caller) = (&url, &done, rack.caller.clone());
        async move {
            let mut whole = 0;
            let mut stop = std::pin::pin!(done.notified());
            loop {
                // A caller whose connection is closed by its answer goes to another node then.
                let answer = caller.get(format!("{url}/{n}")).send().await.unwrap();
                let closing = answer.headers().get("connection").is_some();
                assert_eq!(answer.status(), 200);
                answer.bytes().await.unwrap();
                whole += 1;
                if closing || futures::poll!(&mut stop).is_ready() {
                    return whole;
                }
            }
        }
    });
    let finish = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        rack.nodes[0].traffic.finish().await;
        done.notify_waiters();
    };
    let (counts, ()) = tokio::join!(futures::future::join_all(calls), finish);
    assert!(counts.iter().all(|count: &i32| *count > 2), "{counts:?}");
    assert!(
        rack.caller
            .get(rack.url(0, "/orders/1"))
            .send()
            .await
            .is_err()
    );
}
