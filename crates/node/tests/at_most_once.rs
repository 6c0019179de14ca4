//! Work that must not repeat runs at most once, and its callers learn what became of it.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::time::Duration;

use quetzalrack_core::cluster::ServerState;
use quetzalrack_node::shared::TrafficControl;
use traffic_support::Rack;
use traffic_support::eventually;
use traffic_support::new_key;
use traffic_support::old_key;

const QUICK: Duration = Duration::from_millis(2);

async fn ready(work: Duration) -> Rack {
    let rack = Rack::start("orders", 3, work).await;
    rack.gates_ready().await;
    rack
}

fn runs(rack: &Rack) -> usize {
    rack.nodes.iter().map(|node| node.server.runs().len()).sum()
}

/// The caller sends the same order again, to another node: it gets the first answer, whole.
#[tokio::test]
async fn repeated_key() {
    let rack = ready(QUICK).await;
    let key = new_key();
    let first = rack.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(first.status(), 200);
    let first = first.text().await.unwrap();
    for node in [0, 1, 2] {
        let again = rack.order(node, "/orders/7", &key, "two banners").await;
        assert_eq!(again.status(), 200);
        assert_eq!(again.text().await.unwrap(), first);
    }
    assert_eq!(runs(&rack), 1);
}

/// The same key comes with another body: that body is refused and never runs.
#[tokio::test]
async fn reused_key() {
    let rack = ready(QUICK).await;
    let key = new_key();
    rack.order(1, "/orders/7", &key, "two banners").await;
    let other = rack.order(1, "/orders/7", &key, "three banners").await;
    assert_eq!(other.status(), 422);
    assert!(
        other
            .text()
            .await
            .unwrap()
            .contains(r#""code":"key_reused","outcome":"not_run""#)
    );
    assert_eq!(runs(&rack), 1);
}

/// A request without a version 7 key can't be told from its repeat, so it does not run.
#[tokio::test]
async fn missing_key() {
    let rack = ready(QUICK).await;
    let missing = rack
        .caller
        .post(rack.url(1, "/orders/7"))
        .send()
        .await
        .unwrap();
    assert_eq!(missing.status(), 400);
    let random = rack
        .order(1, "/orders/7", &uuid::Uuid::new_v4().to_string(), "x")
        .await;
    assert_eq!(random.status(), 400);
    assert!(random.text().await.unwrap().contains("key_required"));
    assert_eq!(runs(&rack), 0);
}

/// Twenty copies of one order arrive at three nodes at once: one runs, the others are told that
/// it is running, or get its answer.
#[tokio::test]
async fn concurrent_copies() {
    let rack = ready(Duration::from_millis(50)).await;
    let key = new_key();
    let calls = (0..20).map(|n| rack.order(n % 3, "/orders/7", &key, "two banners"));
    let answers = futures::future::join_all(calls).await;
    assert_eq!(runs(&rack), 1);
    let whole = answers
        .iter()
        .filter(|answer| answer.status() == 200)
        .count();
    assert!(whole >= 1);
    for answer in answers {
        let code = answer.status();
        let text = answer.text().await.unwrap();
        assert!(code == 200 || text.contains("still_running"), "{text}");
    }
}

/// The order runs and its answer is lost: the caller is told that the outcome is unknown, and so is
/// every repeat. It never runs again.
#[tokio::test]
async fn lost_answer() {
    let rack = ready(QUICK).await;
    rack.nodes[0].server.lose_next(1);
    let key = new_key();
    let lost = rack.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(lost.status(), 502);
    assert!(
        lost.text()
            .await
            .unwrap()
            .contains(r#""outcome":"unknown""#)
    );
    let again = rack.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 409);
    assert!(
        again
            .text()
            .await
            .unwrap()
            .contains(r#""code":"outcome_unknown","outcome":"unknown""#)
    );
    assert_eq!(runs(&rack), 1);
}

/// The caller hangs up while its order runs. The order goes on, and its repeat gets the answer.
#[tokio::test]
async fn caller_gone() {
    let rack = ready(Duration::from_millis(300)).await;
    let key = new_key();
    let call = rack
        .caller
        .post(rack.url(1, "/orders/7"))
        .header("idempotency-key", &key)
        .body("two banners")
        .timeout(Duration::from_millis(100))
        .send()
        .await;
    assert!(call.is_err());
    let server = &rack.nodes[0].server;
    eventually("ended", || {
        server.running() == 0 && server.runs().len() == 1
    })
    .await;
    let traffic = &rack.nodes[0].traffic;
    eventually("kept", || traffic.stats().in_flight.0 == 0).await;
    let again = rack.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 200);
    assert_eq!(runs(&rack), 1);
}

/// The backend server sheds the order unrun: the caller may send the same key again, and it runs.
#[tokio::test]
async fn shed_then_run() {
    let rack = ready(QUICK).await;
    let server = &rack.nodes[0].server;
    server.set_shed(true);
    let key = new_key();
    let shed = rack.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(shed.status(), 503);
    assert!(
        shed.text()
            .await
            .unwrap()
            .contains(r#""outcome":"not_run""#)
    );
    server.set_shed(false);
    let again = rack.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 200);
    assert_eq!(runs(&rack), 1);
}

/// The order ran and failed: the caller is told so, and so is its repeat.
#[tokio::test]
async fn failed_work() {
    let rack = ready(QUICK).await;
    rack.nodes[0].server.set_fail(true);
    let key = new_key();
    for _ in 0..2 {
        let failed = rack.order(1, "/orders/7", &key, "two banners").await;
        assert_eq!(failed.status(), 502);
        assert!(
            failed
                .text()
                .await
                .unwrap()
                .contains(r#""outcome":"failed""#)
        );
    }
    assert_eq!(runs(&rack), 1);
}

/// A key from before the gate's memory is never run, however old.
#[tokio::test]
async fn ancient_key() {
    let rack = ready(QUICK).await;
    let key = old_key(Duration::from_secs(3_600));
    let answer = rack.order(1, "/orders/7", &key, "two banners").await;
    assert_eq!(answer.status(), 409);
    assert!(answer.text().await.unwrap().contains("outcome_unknown"));
    assert_eq!(runs(&rack), 0);
}

/// The backend server freezes with an order in hand. The caller gets "unknown" by its deadline;
/// after the thaw the late answer reaches nobody else and is kept for the repeat.
#[tokio::test]
async fn frozen_with_order() {
    let rack = ready(Duration::from_millis(20)).await;
    let node = &rack.nodes[0];
    node.server.set_frozen(true);
    let key = new_key();
    let late = rack.order(1, "/orders/7", &key, "two banners").await;
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
    let again = rack.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 200);
    assert_eq!(again.text().await.unwrap(), "answer to /orders/7");
    assert_eq!(runs(&rack), 1);
    node.announce(1, ServerState::Warm);
}
