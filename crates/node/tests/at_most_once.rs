//! Non-repeatable requests run at most once, and their callers learn the outcome.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_node::shared::TrafficControl;
use traffic_support::TestCluster;
use traffic_support::eventually;
use traffic_support::new_key;
use traffic_support::old_key;

const QUICK: Duration = Duration::from_millis(2);

async fn ready(work: Duration) -> TestCluster {
    let cluster = TestCluster::start("orders", 3, work).await;
    cluster.wait_for_key_age().await;
    cluster
}

fn runs(cluster: &TestCluster) -> usize {
    cluster
        .nodes
        .iter()
        .map(|node| node.server.runs().len())
        .sum()
}

/// A repeat of an order at any node gets the complete first response.
#[tokio::test]
async fn repeated_key() {
    let cluster = ready(QUICK).await;
    let key = new_key();
    let first = cluster.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(first.status(), 200);
    let first = first.text().await.unwrap();
    for node in [0, 1, 2] {
        let again = cluster.order(node, "/orders/7", &key, "two banners").await;
        assert_eq!(again.status(), 200);
        assert_eq!(again.text().await.unwrap(), first);
    }
    assert_eq!(runs(&cluster), 1);
}

/// A key that comes again with another body is refused, and that body never runs.
#[tokio::test]
async fn reused_key() {
    let cluster = ready(QUICK).await;
    let key = new_key();
    cluster.order(1, "/orders/7", &key, "two banners").await;
    let other = cluster.order(1, "/orders/7", &key, "three banners").await;
    assert_eq!(other.status(), 422);
    assert!(
        other
            .text()
            .await
            .unwrap()
            .contains(r#""code":"key_reused","outcome":"not_run""#)
    );
    assert_eq!(runs(&cluster), 1);
}

/// A request without a UUID version 7 as its key can't be told from its repeat, so it does not run.
#[tokio::test]
async fn missing_key() {
    let cluster = ready(QUICK).await;
    let missing = cluster
        .caller
        .post(cluster.url(1, "/orders/7"))
        .send()
        .await
        .unwrap();
    assert_eq!(missing.status(), 400);
    let random = cluster
        .order(1, "/orders/7", &uuid::Uuid::new_v4().to_string(), "x")
        .await;
    assert_eq!(random.status(), 400);
    assert!(random.text().await.unwrap().contains("key_required"));
    assert_eq!(runs(&cluster), 0);
}

/// Twenty copies of one order arrive at three nodes concurrently: one runs; the others are told
/// that it is running, or get its response.
#[tokio::test]
async fn concurrent_copies() {
    let cluster = ready(Duration::from_millis(50)).await;
    let key = new_key();
    let calls = (0..20).map(|n| cluster.order(n % 3, "/orders/7", &key, "two banners"));
    let responses = futures::future::join_all(calls).await;
    assert_eq!(runs(&cluster), 1);
    let completed = responses
        .iter()
        .filter(|response| response.status() == 200)
        .count();
    assert!(completed >= 1);
    for response in responses {
        let code = response.status();
        let text = response.text().await.unwrap();
        assert!(code == 200 || text.contains("still_running"), "{text}");
    }
}

/// The order runs and its response is lost: the caller and every repeat are told that the outcome
/// is unknown. The order never runs again.
#[tokio::test]
async fn lost_response() {
    let cluster = ready(QUICK).await;
    cluster.nodes[0].server.drop_body_next(1);
    let key = new_key();
    let lost = cluster.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(lost.status(), 502);
    assert!(
        lost.text()
            .await
            .unwrap()
            .contains(r#""outcome":"unknown""#)
    );
    let again = cluster.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 409);
    assert!(
        again
            .text()
            .await
            .unwrap()
            .contains(r#""code":"outcome_unknown","outcome":"unknown""#)
    );
    assert_eq!(runs(&cluster), 1);
}

/// The caller disconnects while its order runs. The order completes, and its repeat gets the
/// response.
#[tokio::test]
async fn caller_disconnects() {
    let cluster = ready(Duration::from_millis(300)).await;
    let key = new_key();
    let call = cluster
        .caller
        .post(cluster.url(1, "/orders/7"))
        .header("idempotency-key", &key)
        .body("two banners")
        .timeout(Duration::from_millis(100))
        .send()
        .await;
    assert!(call.is_err());
    let server = &cluster.nodes[0].server;
    eventually("ended", || {
        server.running() == 0 && server.runs().len() == 1
    })
    .await;
    let traffic = &cluster.nodes[0].traffic;
    eventually("kept", || traffic.stats().in_flight.0 == 0).await;
    let again = cluster.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 200);
    assert_eq!(runs(&cluster), 1);
}

/// The backend server sheds the order without running it: a repeat of the same key runs.
#[tokio::test]
async fn shed_then_run() {
    let cluster = ready(QUICK).await;
    let server = &cluster.nodes[0].server;
    server.set_shed(true);
    let key = new_key();
    let shed = cluster.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(shed.status(), 503);
    assert!(
        shed.text()
            .await
            .unwrap()
            .contains(r#""outcome":"not_run""#)
    );
    server.set_shed(false);
    let again = cluster.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 200);
    assert_eq!(runs(&cluster), 1);
}

/// The order ran and failed: the caller and its repeat are told so.
#[tokio::test]
async fn failed_work() {
    let cluster = ready(QUICK).await;
    cluster.nodes[0].server.set_fail(true);
    let key = new_key();
    for _ in 0..2 {
        let failed = cluster.order(1, "/orders/7", &key, "two banners").await;
        assert_eq!(failed.status(), 502);
        assert!(
            failed
                .text()
                .await
                .unwrap()
                .contains(r#""outcome":"failed""#)
        );
    }
    assert_eq!(runs(&cluster), 1);
}

/// A key from before the idempotency store's records begin is never run, however old.
#[tokio::test]
async fn key_before_records() {
    let cluster = ready(QUICK).await;
    let key = old_key(Duration::from_secs(3_600));
    let response = cluster.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(response.status(), 409);
    assert!(response.text().await.unwrap().contains("outcome_unknown"));
    assert_eq!(runs(&cluster), 0);
}

/// The backend server freezes while it runs an order. The caller gets "unknown" by its deadline.
/// After the thaw the late response reaches no other caller and is kept for the repeat.
#[tokio::test]
async fn frozen_with_order() {
    let cluster = ready(Duration::from_millis(20)).await;
    let node = &cluster.nodes[0];
    node.server.set_frozen(true);
    let key = new_key();
    let late = cluster.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(late.status(), 504);
    assert!(
        late.text()
            .await
            .unwrap()
            .contains(r#""outcome":"unknown""#)
    );
    assert_eq!(node.traffic.stats().in_flight.0, 1);
    node.server.set_frozen(false);
    eventually("slot free", || node.traffic.stats().in_flight.0 == 0).await;
    let again = cluster.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 200);
    assert_eq!(again.text().await.unwrap(), "answer to /orders/7");
    assert_eq!(runs(&cluster), 1);
    node.announce(1, ServerState::Warm);
}
