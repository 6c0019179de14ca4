//! Every caller gets the complete response to its own request, or is told that it did not.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::time::Duration;

use quetzalrack_node::shared::TrafficControl;
use traffic_support::TestCluster;
use traffic_support::eventually;
use traffic_support::new_key;

const QUICK: Duration = Duration::from_millis(2);

/// Caller -> node 1 -> node 0, the owner -> its backend server: the response names its origin.
#[tokio::test]
async fn owned_path() {
    let cluster = TestCluster::start("proofs", 2, QUICK).await;
    let response = cluster.get(1, "/proofs/poster-7").await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["quetzalrack-server"], "server-0");
    assert_eq!(response.headers()["quetzalrack-fence"], "1.0.1");
    assert!(response.headers().contains_key("quetzalrack-request"));
    assert!(!response.headers().contains_key("quetzalrack-attempt"));
    assert_eq!(response.text().await.unwrap(), "answer to /proofs/poster-7");
    assert!(cluster.nodes[1].server.runs().is_empty());
}

/// The backend server answers with another attempt's id, as one that mixes up two connections.
/// The caller must not get that response: a repeatable request is sent again elsewhere.
#[tokio::test]
async fn misrouted_response() {
    let cluster = TestCluster::start("orders", 1, QUICK).await;
    cluster.nodes[0].server.misroute_next(1);
    let response = cluster.get(0, "/orders/7").await;
    assert_eq!(response.status(), 502);
    let text = response.text().await.unwrap();
    assert!(
        text.contains(r#""code":"answer_lost","outcome":"unknown""#),
        "{text}"
    );
    let before = cluster.nodes[0].server.connections();
    assert_eq!(
        cluster.get(0, "/orders/8").await.text().await.unwrap(),
        "answer to /orders/8"
    );
    // The connection that brought the misrouted response is not used again.
    assert_eq!(cluster.nodes[0].server.connections(), before + 1);
}

/// A small response is truncated. Nothing of it has reached the caller, so it gets an error.
#[tokio::test]
async fn small_truncated() {
    let cluster = TestCluster::start("orders", 1, QUICK).await;
    cluster.nodes[0].server.truncate_next(1);
    let response = cluster.get(0, "/orders/7").await;
    assert_eq!(response.status(), 502);
    assert!(response.text().await.unwrap().contains("answer_lost"));
}

/// A truncated response on a repeatable route whose owner can be asked again: the caller gets a
/// complete response.
#[tokio::test]
async fn truncated_then_whole() {
    let cluster = TestCluster::start("proofs", 2, QUICK).await;
    cluster.nodes[0].server.truncate_next(1);
    let response = cluster.get(1, "/proofs/7").await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.unwrap(), "answer to /proofs/7");
    assert_eq!(cluster.nodes[0].server.runs().len(), 2);
}

/// A caller reads the beginning of a large response and stops. Its connection is closed after a
/// while, and the slot is released.
#[tokio::test]
async fn stalled_reader() {
    let cluster = TestCluster::start("proofs", 2, QUICK).await;
    let response = cluster.get(1, "/proofs/7?bytes=100000000").await;
    assert_eq!(response.status(), 200);
    let traffic = &cluster.nodes[0].traffic;
    assert_eq!(traffic.stats().in_flight.0, 1);
    let end = tokio::time::Instant::now() + Duration::from_secs(20);
    while traffic.stats().in_flight.0 > 0 {
        assert!(tokio::time::Instant::now() < end, "the slot is never free");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(response.bytes().await.is_err());
}

/// A large response is truncated after its beginning reached the caller over two hops. The caller's
/// connection must end with an error, never as a complete response.
#[tokio::test]
async fn large_truncated() {
    let cluster = TestCluster::start("proofs", 2, QUICK).await;
    cluster.nodes[0].server.truncate_next(1);
    let response = cluster.get(1, "/proofs/7?bytes=1000000").await;
    assert_eq!(response.status(), 200);
    assert!(response.bytes().await.is_err());
    let complete = cluster.get(1, "/proofs/7?bytes=1000000").await;
    assert_eq!(complete.bytes().await.unwrap().len(), 1_000_000);
}

/// The caller disconnects while the backend server works: the attempt is cancelled there, and its
/// slot is released.
#[tokio::test]
async fn caller_disconnects() {
    let cluster = TestCluster::start("proofs", 2, Duration::from_millis(400)).await;
    let call = cluster
        .caller
        .get(cluster.url(1, "/proofs/7"))
        .timeout(Duration::from_millis(100))
        .send()
        .await;
    assert!(call.is_err());
    let server = &cluster.nodes[0].server;
    eventually("cancelled", || server.cancelled().len() == 1).await;
    assert_eq!(server.cancelled()[0], server.runs()[0].attempt);
    let traffic = &cluster.nodes[0].traffic;
    eventually("slot free", || traffic.stats().in_flight.0 == 0).await;
}

/// A body larger than its route accepts: refused before anything is sent when its length is
/// declared, and cut off when the excess shows only while it is read.
#[tokio::test]
async fn oversized_body() {
    let cluster = TestCluster::start("orders", 2, QUICK).await;
    let body = "x".repeat(100_001);
    let response = cluster.order(1, "/orders/7", &new_key(), &body).await;
    assert_eq!(response.status(), 413);
    assert!(
        response
            .text()
            .await
            .unwrap()
            .contains(r#""outcome":"not_run""#)
    );
    assert!(
        cluster
            .nodes
            .iter()
            .all(|node| node.server.runs().is_empty())
    );
}

/// Headers between nodes have no effect when a caller forges them; a forged authenticator is
/// refused.
#[tokio::test]
async fn forged_headers() {
    let cluster = TestCluster::start("proofs", 2, QUICK).await;
    let forged = cluster
        .caller
        .get(cluster.url(1, "/proofs/7"))
        .header(
            "quetzalrack-attempt",
            "00000000-0000-4000-8000-000000000000",
        )
        .header("quetzalrack-deadline-ms", "1")
        .header("quetzalrack-slice", "proofs/99")
        .send()
        .await
        .unwrap();
    assert_eq!(forged.status(), 200);
    assert_ne!(
        cluster.nodes[0].server.runs()[0].attempt,
        "00000000-0000-4000-8000-000000000000"
    );
    let proof = cluster
        .caller
        .get(cluster.url(1, "/proofs/7"))
        .header("quetzalrack-authenticator", "node-0;1;k;00")
        .send()
        .await
        .unwrap();
    assert_eq!(proof.status(), 401);
}

/// A lease lapsed while its holder was paused: the holder refuses, and when there is no other owner
/// the caller is told at once that nothing ran.
#[tokio::test]
async fn lapsed_lease() {
    let cluster = TestCluster::start("proofs", 2, QUICK).await;
    cluster.grant_slices(0, 2, 0);
    let response = cluster.get(1, "/proofs/7").await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(
        response
            .text()
            .await
            .unwrap()
            .contains(r#""code":"no_owner","outcome":"not_run""#)
    );
    assert!(
        cluster
            .nodes
            .iter()
            .all(|node| node.server.runs().is_empty())
    );
}

/// A slice moved and the ingress node has an outdated routing table: the old owner names the new
/// owner.
#[tokio::test]
async fn moved_slice() {
    let cluster = TestCluster::start("proofs", 3, QUICK).await;
    let old = cluster.nodes[2].view.routing.load_full();
    cluster.grant_slices(0, 2, 0);
    cluster.grant_slices(1, 3, 10_000);
    cluster.publish_owner(2, Some(1));
    cluster.nodes[2].view.routing.store(old);
    let response = cluster.get(2, "/proofs/7").await;
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["quetzalrack-server"], "server-1");
}

/// A repeatable request runs at one backend server, its response is truncated, and the second one
/// sheds the retry. "Not run" is true of the second attempt but not of the request: the caller must
/// be told "unknown".
#[tokio::test]
async fn lost_then_shed() {
    let cluster = TestCluster::start("orders", 2, QUICK).await;
    cluster.nodes[0].server.truncate_next(1_000);
    cluster.nodes[1].server.set_shed(true);
    for n in 0..30 {
        let path = format!("/orders/{n}");
        let response = cluster.get(n % 2, &path).await;
        let text = response.text().await.unwrap();
        let ran = cluster.nodes[0]
            .server
            .runs()
            .iter()
            .any(|run| run.path == path);
        let not_run = text.contains(r#""outcome":"not_run""#);
        assert!(!(ran && not_run), "{path}: {text}");
    }
    assert!(!cluster.nodes[0].server.runs().is_empty());
}

/// The response for an owned key is truncated, then its owner loses its leases and no other owner
/// follows: the caller must be told "unknown".
#[tokio::test]
async fn lost_then_no_owner() {
    let cluster = TestCluster::start("proofs", 2, Duration::from_millis(200)).await;
    cluster.nodes[0].server.truncate_next(1);
    let call = cluster.get(1, "/proofs/7");
    let lapse = async {
        let server = &cluster.nodes[0].server;
        eventually("running", || server.runs().len() == 1).await;
        cluster.nodes[0].view.leases.store(Default::default());
    };
    let (response, ()) = tokio::join!(call, lapse);
    let text = response.text().await.unwrap();
    assert!(text.contains(r#""outcome":"unknown""#), "{text}");
    assert_eq!(cluster.nodes[0].server.runs().len(), 1);
}
