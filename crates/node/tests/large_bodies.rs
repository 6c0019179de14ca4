//! Large bodies are streamed through the nodes.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::time::Duration;

use traffic_support::TestCluster;

const QUICK: Duration = Duration::from_millis(2);

/// Artwork of 200 MB is streamed through both hops, down and up, without being buffered whole.
#[tokio::test]
async fn large_artwork() {
    let cluster = TestCluster::start("orders", 2, QUICK).await;
    let size = 200_000_000_usize;
    let before = resident_bytes();
    let mut response = cluster.get(1, &format!("/orders/7?bytes={size}")).await;
    let mut received = 0;
    let mut most = 0;
    while let Some(piece) = response.chunk().await.unwrap() {
        received += piece.len();
        most = most.max(resident_bytes());
    }
    assert_eq!(received, size);
    let piece = bytes::Bytes::from(vec![7_u8; 64 * 1024]);
    let pieces = (0..size / piece.len()).map(move |_| Ok::<_, std::io::Error>(piece.clone()));
    let body = reqwest::Body::wrap_stream(futures::stream::iter(pieces));
    let sent = size / (64 * 1024) * (64 * 1024);
    let stored = cluster
        .caller
        .put(cluster.url(1, "/orders/7"))
        .body(body)
        .send()
        .await
        .unwrap();
    assert_eq!(stored.status(), 200);
    most = most.max(resident_bytes());
    let stored: usize = cluster
        .nodes
        .iter()
        .flat_map(|node| node.server.runs())
        .map(|run| run.body)
        .sum();
    assert_eq!(stored, sent);
    // Caller, both nodes and the backend server share this process.
    assert!(most - before < 16_000_000, "grew by {}", most - before);
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4096
}
