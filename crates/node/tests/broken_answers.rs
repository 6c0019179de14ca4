//! Backend servers whose answers are cut, or are no answers and have no end.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::time::Duration;
use std::time::Instant;

use traffic_support::RawAnswer;
use traffic_support::TestCluster;

const QUICK: Duration = Duration::from_millis(2);
const HEAD: &str = "HTTP/1.1 200 OK\r\nquetzalrack-attempt: ATTEMPT\r\n";
/// The deadline of the route is 2 s.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Opens new connections to the server, which answers with raw bytes from then on.
async fn start(answer: &RawAnswer) -> TestCluster {
    let cluster = TestCluster::start("proofs", 2, QUICK).await;
    cluster.nodes[0].server.answer_raw(Some(answer.clone()));
    cluster
}

/// Guards against an empty or short success that looks whole: a server closes in the middle of its answer's head,
/// at any byte, and the caller is on its host or on another.
#[tokio::test]
async fn cut_heads() {
    let whole = format!("{HEAD}content-length: 5\r\n\r\n");
    let answer = |length: usize| RawAnswer {
        start: whole[..length].to_owned(),
        repeated: String::new(),
    };
    let cluster = start(&answer(0)).await;
    for length in 0..=whole.len() {
        cluster.nodes[0].server.answer_raw(Some(answer(length)));
        for node in [0, 1] {
            let response = cluster
                .get(node, &format!("/proofs/cut-{length}-{node}"))
                .await;
            let is_success = response.status().is_success();
            // A node that has begun to pass on a success breaks it off.
            let is_whole = is_success && response.bytes().await.is_ok();
            assert!(!is_whole, "{length} bytes, node {node}");
        }
    }
}

/// Guards against callers that are held by bytes that are no answer and come without end, in each part of an
/// answer that has a length of its own.
#[tokio::test]
async fn endless_answers() {
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    let ways = [
        ("junk", "", "x7 "),
        ("status line", "HTTP/1.1 200 ", "x"),
        ("header value", &format!("{HEAD}x-long: "), "x"),
        ("headers", HEAD, "x-other: 1\r\n"),
        ("chunk extension", &format!("{chunked}5;"), "x"),
        ("trailers", &format!("{chunked}0\r\n"), "x-other: 1\r\n"),
    ];
    for (way, start_bytes, repeated) in ways {
        let answer = RawAnswer {
            start: start_bytes.to_owned(),
            repeated: repeated.to_owned(),
        };
        let cluster = start(&answer).await;
        let begun = Instant::now();
        let response = cluster.get(1, "/proofs/endless").await;
        let is_whole = response.status().is_success() && response.bytes().await.is_ok();
        let waited = begun.elapsed();
        assert!(!is_whole && waited < MAX_WAIT, "{way}: after {waited:?}");
    }
}

/// Guards against the same with interim answers, and with zeros before a chunk's size, which a client may drop
/// without a bound.
#[tokio::test]
async fn endless_dropped_bytes() {
    let ways = [
        (
            "interim answers",
            String::new(),
            "HTTP/1.1 103 Early Hints\r\n\r\n",
        ),
        (
            "chunk size",
            format!("{HEAD}transfer-encoding: chunked\r\n\r\n"),
            "0",
        ),
    ];
    for (way, start_bytes, repeated) in ways {
        let answer = RawAnswer {
            start: start_bytes,
            repeated: repeated.to_owned(),
        };
        let cluster = start(&answer).await;
        let begun = Instant::now();
        let response = cluster.get(1, "/proofs/endless").await;
        let is_whole = response.status().is_success() && response.bytes().await.is_ok();
        let waited = begun.elapsed();
        assert!(!is_whole && waited < MAX_WAIT, "{way}: after {waited:?}");
    }
}

/// Guards against one request whose answers are lost again and again: it used up the retry budget of its service.
#[tokio::test]
async fn retries_of_one_request() {
    let answer = RawAnswer {
        start: "HTTP/1.1 200 OK\r\n".to_owned(),
        repeated: String::new(),
    };
    let cluster = start(&answer).await;
    let begun = cluster.nodes[0].server.raw_count();
    let response = cluster.get(1, "/proofs/lost").await;
    assert!(!response.status().is_success());
    let sent = cluster.nodes[0].server.raw_count() - begun;
    assert!((2..=3).contains(&sent), "sent {sent} times");
}
