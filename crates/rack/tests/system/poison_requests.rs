//! Requests under which backend servers end.

use std::time::Duration;
use std::time::Instant;

use super::support::ClientResponse;
use super::support::World;

const START: Duration = Duration::from_secs(30);
/// How often clients ask for a content, each time with an id of its own.
const CLIENT_ATTEMPTS: usize = 24;
/// Pause between two attempts of a client.
const PAUSE: Duration = Duration::from_millis(150);
const SERVICES: [&str; 8] = [
    "plain", "plain", "plain", "plain", "keyed", "keyed", "keyed", "keyed",
];

/// One answered attempt and how long it took.
type Attempt = (ClientResponse, Duration);

/// Asks for a content at one host after the other.
async fn ask(world: &World, path: &str, key: Option<u16>) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for number in 0..CLIENT_ATTEMPTS {
        let host = number * 3 % world.hosts.len();
        let id = format!("{path}-{number}");
        let sent = Instant::now();
        let response = world.request(host, &id, path, key).await;
        attempts.push((response, sent.elapsed()));
        tokio::time::sleep(PAUSE).await;
    }
    attempts
}

/// Checks that no more than three servers ended under the contents of a test, and that none was sent on.
fn check_ends(world: &World) {
    for record in world.truth.contents.marked("") {
        let (ends, arrivals) = (record.ends.len(), record.arrivals.len());
        let late = record.arrivals_after_ends(Duration::ZERO);
        assert!(
            ends <= 3 && late == 0,
            "{ends} servers ended, {arrivals} sendings, {late} after the third end"
        );
    }
}

/// Guards against a request under which servers end that is sent to one after the other, as its client asks
/// again at other hosts.
#[tokio::test(flavor = "multi_thread")]
async fn client_attempts() {
    let world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    ask(&world, "/plain/ends-servers", None).await;
    check_ends(&world);
}

/// Guards against such a request for a key, which ends each owner that the key moves to.
#[tokio::test(flavor = "multi_thread")]
async fn keyed() {
    let world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    ask(&world, "/keyed/ends-servers", Some(40_000)).await;
    check_ends(&world);
}

/// Guards against such a request that may run once only, as its client asks again with other ids.
#[tokio::test(flavor = "multi_thread")]
async fn once() {
    let world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    ask(&world, "/once/ends-servers", None).await;
    check_ends(&world);
}
