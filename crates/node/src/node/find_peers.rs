//! Lookup of the heartbeat addresses of the seeds.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::timeout;

use super::service_thread::ServiceThread;
use crate::calls::CallClient;

/// Maximum delay of a node's start by seeds that don't answer.
const SEED_TIMEOUT: Duration = Duration::from_millis(700);

/// Queries all seeds concurrently for their heartbeat addresses; those that don't answer are left
/// out.
pub(super) fn find_peers(
    service: &ServiceThread,
    calls: &CallClient,
    seeds: &[SocketAddr],
) -> Vec<SocketAddr> {
    if seeds.is_empty() {
        return Vec::new();
    }
    let calls = calls.clone();
    let seeds = seeds.to_vec();
    let queried = async move {
        let queries = seeds.iter().map(|seed| async {
            let answer = timeout(SEED_TIMEOUT, calls.member(*seed)).await;
            answer.ok()?.ok().map(|member| member.heartbeat)
        });
        let answers: Vec<Option<SocketAddr>> = join_all(queries).await;
        answers.into_iter().flatten().collect()
    };
    service.run(queried).unwrap_or_default()
}
