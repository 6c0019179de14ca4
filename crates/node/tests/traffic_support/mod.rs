//! A few nodes with fake backend servers, whose shared views the test sets.

#![allow(
    dead_code,
    unused_imports,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic
)]

mod fake_server;
mod test_cluster;
mod test_node;

pub use fake_server::FakeServer;
pub use fake_server::RawAnswer;
pub use test_cluster::TestCluster;

use std::time::Duration;

use uuid::Uuid;

/// Returns a fresh idempotency key, made now.
pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// Returns an idempotency key made `ago` before now.
pub fn old_key(ago: Duration) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let then = now - ago;
    let stamp = uuid::Timestamp::from_unix(uuid::NoContext, then.as_secs(), then.subsec_nanos());
    Uuid::new_v7(stamp).to_string()
}

/// Polls until `ready` holds, for at most ten seconds.
pub async fn eventually<F>(what: &str, mut ready: F)
where
    F: FnMut() -> bool,
{
    let end = tokio::time::Instant::now() + Duration::from_secs(10);
    while !ready() {
        assert!(tokio::time::Instant::now() < end, "never: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
