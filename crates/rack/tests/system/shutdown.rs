//! Processes that receive SIGTERM under load.

use std::time::Duration;

use reqwest::StatusCode;

use super::support::ConnectionOutcome;
use super::support::World;

const START: Duration = Duration::from_secs(30);
/// Time after SIGTERM by which a process has closed its idle connections.
const IDLE_CLOSED: Duration = Duration::from_millis(2_600);

/// Starts hosts whose servers take `work` for a request, with routes whose timeouts allow it.
async fn started(work: Duration) -> World {
    let world = World::start(&["plain", "plain", "keyed"]).await;
    world.wait_until_served(START).await;
    world.write_long_timeout_config(2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for host in &world.hosts {
        host.server.set_service_time(work);
    }
    world
}

/// Guards against a connection that a process closes during shutdown before it has read the first request:
/// the connection is opened after the idle ones were closed, and its request comes a moment later.
#[tokio::test(flavor = "multi_thread")]
async fn late_connection() {
    let world = started(Duration::from_millis(3_400)).await;
    let long_request = world.request_with_long_timeout(0, "long", "/plain/1");
    let late = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.terminate_node(0);
        for host in &world.hosts {
            host.server.set_service_time(Duration::from_millis(10));
        }
        tokio::time::sleep(IDLE_CLOSED).await;
        let request = "GET /plain/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: 1500\r\n\r\n";
        world
            .send_pieces(0, &["", request], Duration::from_secs(1))
            .await
    };
    let (long, late) = tokio::join!(long_request, late);
    assert_eq!(long, Some(StatusCode::OK));
    let first = late.lines().next().unwrap_or_default();
    assert!(
        first == "HTTP/1.1 200 OK" || first.starts_with("HTTP/1.1 503"),
        "{late:?}"
    );
}

/// Guards against requests that are cut off when their process exits: a second SIGTERM must not restart its
/// grace period.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal() {
    let first = late_response(Some(Duration::from_secs(3)), 4_000).await;
    assert!(first.starts_with("HTTP/1.1 503"), "{first:?}");
}

/// Guards against requests that a process accepts during shutdown although it exits before their deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_after_exit() {
    let first = late_response(None, 15_000).await;
    assert!(first.starts_with("HTTP/1.1 503"), "{first:?}");
}

/// Sends a process SIGTERM, a second one after `second_after` if given, and 3.2 s after the first a request
/// that takes its server 9 s; returns the first line of what the process sends within a second.
async fn late_response(second_after: Option<Duration>, deadline_ms: u32) -> String {
    let world = started(Duration::from_secs(9)).await;
    let long_request = world.request_with_long_timeout(0, "long", "/plain/1");
    let late = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.terminate_node(0);
        let second_after = second_after.unwrap_or_default();
        tokio::time::sleep(second_after).await;
        if !second_after.is_zero() {
            world.terminate_node(0);
        }
        tokio::time::sleep(Duration::from_millis(3_200).saturating_sub(second_after)).await;
        let request = format!(
            "GET /plain/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
        );
        world
            .send_pieces(0, &["", &request], Duration::from_secs(1))
            .await
    };
    let (_, late) = tokio::join!(long_request, late);
    late.lines().next().unwrap_or_default().to_owned()
}

/// Guards against requests that are cut off because they come while the process exits: a client that
/// connects then gets a response or its connection is refused.
#[tokio::test(flavor = "multi_thread")]
async fn connections_until_exit() {
    let mut world = World::start(&["plain", "plain", "keyed"]).await;
    world.wait_until_served(START).await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_millis(30));
    }
    world.terminate_node(0);
    let mut cut_connections = Vec::new();
    while !world.hosts[0].has_ended() {
        let requests = (0..12).map(|_| world.request_on_new_connection(0, "/plain/1"));
        let answers = futures::future::join_all(requests).await;
        cut_connections.extend(
            answers
                .into_iter()
                .filter(|answer| *answer == ConnectionOutcome::Cut),
        );
    }
    assert_eq!(cut_connections, Vec::new());
}
