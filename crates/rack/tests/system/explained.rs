//! Three kinds of failed request, each traced in the log from its id to its cause as docs/OPERATIONS.md
//! describes.

use std::time::Duration;

use reqwest::StatusCode;
use serde_json::Value;

use super::support::World;

const START: Duration = Duration::from_secs(30);

/// Returns the log lines of all hosts that contain a request's id.
fn lines(world: &World, id: &str) -> Vec<Value> {
    let hosts = 0..world.hosts.len();
    hosts
        .flat_map(|place| world.lines(place, "id", id))
        .collect()
}

async fn wait_for_line(world: &World, id: &str, event: &str) -> Value {
    for _ in 0..100 {
        let found = lines(world, id)
            .into_iter()
            .find(|line| line["event"] == event);
        if let Some(line) = found {
            // With --nocapture this prints the lines that docs/OPERATIONS.md quotes.
            println!("{line}");
            return line;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no {event} for {id}: {:?}", lines(world, id));
}

/// The only server's slots are occupied for about a second, so a request is refused as not run, with the time
/// after which to retry. Its log lines give the reason and the numbers of running and waiting requests.
#[tokio::test(flavor = "multi_thread")]
async fn refused() {
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    world.hosts[0]
        .server
        .set_service_time(Duration::from_millis(900));
    let requests = (0..60).map(|number| {
        let (world, id) = (&world, format!("explain-refused-{number}"));
        async move { (world.request(0, &id, "/plain/1", None).await, id) }
    });
    let responses = futures::future::join_all(requests).await;
    let (refused, id) = responses
        .iter()
        .find(|(response, _)| response.status == Some(StatusCode::SERVICE_UNAVAILABLE))
        .unwrap();
    assert!(
        refused
            .retry_after
            .as_ref()
            .unwrap()
            .parse::<f64>()
            .unwrap()
            > 0.0
    );
    assert_eq!(world.hosts[0].server.runs(id), 0);
    let line = wait_for_line(&world, id, "not_served").await;
    assert!(line["why"] == "full" || line["why"] == "expired", "{line}");
    assert_eq!(line["sent"], 0);
    let decided = wait_for_line(&world, id, "egress_not_run").await;
    assert_eq!(decided["reason"], line["why"]);
    let running = decided["running"].as_u64().unwrap();
    assert!(
        (1..=10).contains(&running) && decided["waiting"].is_u64(),
        "{decided}"
    );
}

/// A server runs a request and its response is lost: the client gets 502, and the log lines say that the
/// request was sent, where it was lost, and that it may not be sent again.
#[tokio::test(flavor = "multi_thread")]
async fn lost() {
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    world.hosts[0].server.drop_responses(true);
    let response = world.request(0, "explain-lost", "/once/1", None).await;
    assert_eq!(response.status, Some(StatusCode::BAD_GATEWAY));
    let line = wait_for_line(&world, "explain-lost", "not_served").await;
    assert_eq!((&line["why"], &line["sent"]), (&"broken".into(), &1.into()));
    let lost = wait_for_line(&world, "explain-lost", "egress_lost").await;
    assert_eq!(lost["repeatable"], false);
}

/// The only server that holds a key has failed, so the key has no owner: the refusal's log line has the
/// versions of the table, and the leader's log lines name the previous owner.
#[tokio::test(flavor = "multi_thread")]
async fn moved_owner() {
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    world.hosts[1].server.crash();
    tokio::time::sleep(Duration::from_secs(6)).await;
    let response = world
        .request(0, "explain-moved", "/keyed/1", Some(40_000))
        .await;
    assert_eq!(response.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    let line = wait_for_line(&world, "explain-moved", "not_served").await;
    assert_eq!(line["why"], "not_owner");
    assert_eq!(line["key"], 40_000);
    assert!(
        line["owners"].as_u64().unwrap() > 0 && line["epoch"].as_u64().unwrap() > 0,
        "{line}"
    );
    let granted: Vec<Value> = (0..2)
        .flat_map(|place| world.lines(place, "event", "keys_granted"))
        .collect();
    println!("{}", granted.last().unwrap());
    let detail = granted.last().unwrap()["detail"].as_str().unwrap();
    assert!(
        detail.starts_with("keyed ") && detail.contains(" to node-1, token "),
        "{detail}"
    );
}
