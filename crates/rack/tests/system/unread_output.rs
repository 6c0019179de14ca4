//! The program's output is not read.

use std::time::Duration;
use std::time::Instant;

use reqwest::StatusCode;

use super::support::World;

const START: Duration = Duration::from_secs(30);
/// Time in which the log lines of refused requests, at most fifty a second of an event and 250 bytes each,
/// fill a pipe of 64 KB.
const FILL_TIME: Duration = Duration::from_secs(9);

/// Guards against requests that wait for a log line to be written: the output of a node is not read, and
/// the pipe fills. Log lines are dropped; requests are served without delay.
#[tokio::test(flavor = "multi_thread")]
async fn full_pipe() {
    let mut world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    world.kill_node(0);
    world.start_node_unread(0);
    world.wait_until_served(START).await;
    let until = Instant::now() + FILL_TIME;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let status = world
            .request_with_short_timeout(0, &format!("hasty-{number}"), "/plain/1")
            .await;
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
    for number in 0..200 {
        let asked = Instant::now();
        let got = world
            .request(0, &format!("served-{number}"), "/plain/1", None)
            .await;
        assert_eq!(got.status, Some(StatusCode::OK));
        assert!(
            asked.elapsed() < Duration::from_millis(500),
            "{:?}",
            asked.elapsed()
        );
    }
}
