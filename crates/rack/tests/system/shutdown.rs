//! Processes that are told to leave while clients go on.

use std::time::Duration;

use reqwest::StatusCode;

use super::support::Anew;
use super::support::World;

const START: Duration = Duration::from_secs(30);
/// After this time a leaving process has closed the connections that were open and unused.
const CLOSED: Duration = Duration::from_millis(2_600);

/// Starts hosts whose servers take so long for a request, with routes that wait for it.
async fn started(work: Duration) -> World {
    let world = World::start(&["plain", "plain", "keyed"]).await;
    world.settled(START).await;
    world.write_patient_config(2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for host in &world.hosts {
        host.server.set_work(work);
    }
    world
}

/// Guards against a connection that a leaving process closes before it has read the first request: it is
/// opened after the others were closed, and its request comes a moment later.
#[tokio::test(flavor = "multi_thread")]
async fn opened_late() {
    let world = started(Duration::from_millis(3_400)).await;
    let keeps_it = world.ask_patiently(0, "long", "/plain/1");
    let late = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.terminate_node(0);
        for host in &world.hosts {
            host.server.set_work(Duration::from_millis(10));
        }
        tokio::time::sleep(CLOSED).await;
        let request = "GET /plain/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: 1500\r\n\r\n";
        world
            .send_pieces(0, &["", request], Duration::from_secs(1))
            .await
    };
    let (long, late) = tokio::join!(keeps_it, late);
    assert_eq!(long, Some(StatusCode::OK));
    let first = late.lines().next().unwrap_or_default();
    assert!(
        first == "HTTP/1.1 200 OK" || first.starts_with("HTTP/1.1 503"),
        "{late:?}"
    );
}

/// Guards against requests that are cut when their process ends: it was told to leave twice, and counted its
/// time from the second time.
#[tokio::test(flavor = "multi_thread")]
async fn told_twice() {
    let first = late_answer(Some(Duration::from_secs(3)), 4_000).await;
    assert!(first.starts_with("HTTP/1.1 503"), "{first:?}");
}

/// Guards against requests that a leaving process takes though it ends before they must be answered.
#[tokio::test(flavor = "multi_thread")]
async fn too_late() {
    let first = late_answer(None, 15_000).await;
    assert!(first.starts_with("HTTP/1.1 503"), "{first:?}");
}

/// Tells a process to leave, and once more after a while, and sends it a request 3.2 s after the first time
/// that its server works on for long; returns the first line of what comes back at once.
async fn late_answer(again: Option<Duration>, patience_ms: u32) -> String {
    let world = started(Duration::from_secs(9)).await;
    let keeps_it = world.ask_patiently(0, "long", "/plain/1");
    let late = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.terminate_node(0);
        let again = again.unwrap_or_default();
        tokio::time::sleep(again).await;
        if !again.is_zero() {
            world.terminate_node(0);
        }
        tokio::time::sleep(Duration::from_millis(3_200).saturating_sub(again)).await;
        let request = format!(
            "GET /plain/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: {patience_ms}\r\n\r\n"
        );
        world
            .send_pieces(0, &["", &request], Duration::from_secs(1))
            .await
    };
    let (_, late) = tokio::join!(keeps_it, late);
    late.lines().next().unwrap_or_default().to_owned()
}

/// Guards against requests that are cut because they come while the process ends: whoever connects then is
/// answered, or told that nobody listens.
#[tokio::test(flavor = "multi_thread")]
async fn until_the_end() {
    let mut world = World::start(&["plain", "plain", "keyed"]).await;
    world.settled(START).await;
    for host in &world.hosts {
        host.server.set_work(Duration::from_millis(30));
    }
    world.terminate_node(0);
    let mut cut = Vec::new();
    while !world.hosts[0].has_ended() {
        let asks = (0..12).map(|_| world.ask_anew(0, "/plain/1"));
        let answers = futures::future::join_all(asks).await;
        cut.extend(answers.into_iter().filter(|answer| *answer == Anew::Cut));
    }
    assert_eq!(cut, Vec::new());
}
