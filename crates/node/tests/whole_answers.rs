//! Every caller gets the whole answer to its own request, or is told that it did not.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::time::Duration;

use quetzalrack_node::shared::TrafficControl;
use traffic_support::Rack;
use traffic_support::eventually;
use traffic_support::new_key;

const QUICK: Duration = Duration::from_millis(2);

/// Caller -> node 1 -> node 0, the owner -> its backend server: the answer names its origin.
#[tokio::test]
async fn owned_path() {
    let rack = Rack::start("proofs", 2, QUICK).await;
    let answer = rack.get(1, "/proofs/poster-7").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["quetzalrack-server"], "server-0");
    assert_eq!(answer.headers()["quetzalrack-fence"], "1.0.1");
    assert!(answer.headers().contains_key("quetzalrack-request"));
    assert!(!answer.headers().contains_key("quetzalrack-attempt"));
    assert_eq!(answer.text().await.unwrap(), "answer to /proofs/poster-7");
    assert!(rack.nodes[1].server.runs().is_empty());
}

/// The backend server answers with another attempt's id, as one that mixes up two connections.
/// The caller must not get that answer: a repeatable request is sent again elsewhere.
#[tokio::test]
async fn crossed_answer() {
    let rack = Rack::start("orders", 1, QUICK).await;
    rack.nodes[0].server.cross_next(1);
    let answer = rack.get(0, "/orders/7").await;
    assert_eq!(answer.status(), 502);
    let text = answer.text().await.unwrap();
    assert!(
        text.contains(r#""code":"answer_lost","outcome":"unknown""#),
        "{text}"
    );
    let before = rack.nodes[0].server.connections();
    assert_eq!(
        rack.get(0, "/orders/8").await.text().await.unwrap(),
        "answer to /orders/8"
    );
    // The connection that brought the crossed answer is not used again.
    assert_eq!(rack.nodes[0].server.connections(), before + 1);
}

/// A small answer breaks off midway. Nothing of it reached the caller yet, so it is told so plainly.
#[tokio::test]
async fn small_truncated() {
    let rack = Rack::start("orders", 1, QUICK).await;
    rack.nodes[0].server.truncate_next(1);
    let answer = rack.get(0, "/orders/7").await;
    assert_eq!(answer.status(), 502);
    assert!(answer.text().await.unwrap().contains("answer_lost"));
}

/// The same on a repeatable route whose owner can be asked again: the caller gets a whole answer.
#[tokio::test]
async fn truncated_then_whole() {
    let rack = Rack::start("proofs", 2, QUICK).await;
    rack.nodes[0].server.truncate_next(1);
    let answer = rack.get(1, "/proofs/7").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.text().await.unwrap(), "answer to /proofs/7");
    assert_eq!(rack.nodes[0].server.runs().len(), 2);
}

/// A reader takes the beginning of a large answer and nothing more. After a while it is cut, and
/// the slot is free for others.
#[tokio::test]
async fn stalled_reader() {
    let rack = Rack::start("proofs", 2, QUICK).await;
    let answer = rack.get(1, "/proofs/7?bytes=100000000").await;
    assert_eq!(answer.status(), 200);
    let traffic = &rack.nodes[0].traffic;
    assert_eq!(traffic.stats().in_flight.0, 1);
    let end = tokio::time::Instant::now() + Duration::from_secs(20);
    while traffic.stats().in_flight.0 > 0 {
        assert!(tokio::time::Instant::now() < end, "the slot is never free");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(answer.bytes().await.is_err());
}

/// A large answer breaks off midway, after its beginning went out to the caller over two hops.
/// The caller's connection must end with an error, never as a whole answer.
#[tokio::test]
async fn large_truncated() {
    let rack = Rack::start("proofs", 2, QUICK).await;
    rack.nodes[0].server.truncate_next(1);
    let answer = rack.get(1, "/proofs/7?bytes=1000000").await;
    assert_eq!(answer.status(), 200);
    assert!(answer.bytes().await.is_err());
    let whole = rack.get(1, "/proofs/7?bytes=1000000").await;
    assert_eq!(whole.bytes().await.unwrap().len(), 1_000_000);
}

/// The caller hangs up while the backend server works: the work is cancelled there, and its slot
/// is given back.
#[tokio::test]
async fn caller_gone() {
    let rack = Rack::start("proofs", 2, Duration::from_millis(400)).await;
    let call = rack
        .caller
        .get(rack.url(1, "/proofs/7"))
        .timeout(Duration::from_millis(100))
        .send()
        .await;
    assert!(call.is_err());
    let server = &rack.nodes[0].server;
    eventually("cancelled", || server.cancelled().len() == 1).await;
    assert_eq!(server.cancelled()[0], server.runs()[0].attempt);
    let traffic = &rack.nodes[0].traffic;
    eventually("slot free", || traffic.stats().in_flight.0 == 0).await;
}

/// A body larger than its route accepts: refused before anything is sent when its length is told,
/// and cut off when it only turns out to be.
#[tokio::test]
async fn oversized_body() {
    let rack = Rack::start("orders", 2, QUICK).await;
    let body = "x".repeat(100_001);
    let answer = rack.order(1, "/orders/7", &new_key(), &body).await;
    assert_eq!(answer.status(), 413);
    assert!(
        answer
            .text()
            .await
            .unwrap()
            .contains(r#""outcome":"not_run""#)
    );
    assert!(rack.nodes.iter().all(|node| node.server.runs().is_empty()));
}

/// Headers by which nodes know each other, forged by a caller, have no effect; a forged proof is
/// refused.
#[tokio::test]
async fn forged_headers() {
    let rack = Rack::start("proofs", 2, QUICK).await;
    let forged = rack
        .caller
        .get(rack.url(1, "/proofs/7"))
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
        rack.nodes[0].server.runs()[0].attempt,
        "00000000-0000-4000-8000-000000000000"
    );
    let proof = rack
        .caller
        .get(rack.url(1, "/proofs/7"))
        .header("quetzalrack-authenticator", "node-0;1;k;00")
        .send()
        .await
        .unwrap();
    assert_eq!(proof.status(), 401);
}

/// A lease that lapsed while its holder was paused: the holder refuses, and the caller is told at
/// once that nothing ran when no other owner turns up.
#[tokio::test]
async fn lapsed_lease() {
    let rack = Rack::start("proofs", 2, QUICK).await;
    rack.give_slices(0, 2, 0);
    let answer = rack.get(1, "/proofs/7").await;
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(
        answer
            .text()
            .await
            .unwrap()
            .contains(r#""code":"no_owner","outcome":"not_run""#)
    );
    assert!(rack.nodes.iter().all(|node| node.server.runs().is_empty()));
}

/// The slice moved and the ingress has an old table: the old owner says who owns it now.
#[tokio::test]
async fn moved_slice() {
    let rack = Rack::start("proofs", 3, QUICK).await;
    let old = rack.nodes[2].view.routing.load_full();
    rack.give_slices(0, 2, 0);
    rack.give_slices(1, 3, 10_000);
    rack.publish_owner(2, Some(1));
    rack.nodes[2].view.routing.store(old);
    let answer = rack.get(2, "/proofs/7").await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["quetzalrack-server"], "server-1");
}

/// A repeatable request runs at one backend server, its answer breaks off, and the second one sheds
/// the retry. The last word is a true "not run" of the second attempt, but not of the request: the
/// caller must be told "unknown".
#[tokio::test]
async fn lost_then_shed() {
    let rack = Rack::start("orders", 2, QUICK).await;
    rack.nodes[0].server.truncate_next(1_000);
    rack.nodes[1].server.set_shed(true);
    for n in 0..30 {
        let path = format!("/orders/{n}");
        let answer = rack.get(n % 2, &path).await;
        let text = answer.text().await.unwrap();
        let ran = rack.nodes[0]
            .server
            .runs()
            .iter()
            .any(|run| run.path == path);
        let not_run = text.contains(r#""outcome":"not_run""#);
        assert!(!(ran && not_run), "{path}: {text}");
    }
    assert!(!rack.nodes[0].server.runs().is_empty());
}

/// The same for an owned key: its answer breaks off, then its owner is gone and no other comes.
#[tokio::test]
async fn lost_then_ownerless() {
    let rack = Rack::start("proofs", 2, Duration::from_millis(200)).await;
    rack.nodes[0].server.truncate_next(1);
    let call = rack.get(1, "/proofs/7");
    let lapse = async {
        let server = &rack.nodes[0].server;
        eventually("running", || server.runs().len() == 1).await;
        rack.nodes[0].view.leases.store(Default::default());
    };
    let (answer, ()) = tokio::join!(call, lapse);
    let text = answer.text().await.unwrap();
    assert!(text.contains(r#""outcome":"unknown""#), "{text}");
    assert_eq!(rack.nodes[0].server.runs().len(), 1);
}
