//! Servers that have just started and accept few requests.

use std::time::Duration;
use std::time::Instant;

use super::support::World;

const START: Duration = Duration::from_secs(30);
const SERVICES: [&str; 4] = ["keyed", "keyed", "keyed", "plain"];
/// Index of the host with the only server of its service.
const PLAIN: usize = 3;
/// Most requests that a cold server gets in a second: 25 by its document, plus half as many and 5 by the
/// bounds.
const MAX_COLD_RATE: usize = 42;

/// Sends concurrent requests for the only plain server through all other hosts for `time`.
async fn flood(world: &World, name: &str, time: Duration) {
    let deadline = Instant::now() + time;
    let senders = (0..60).map(|sender| async move {
        let mut round = 0;
        while Instant::now() < deadline {
            let id = format!("{name}-{sender}-{round}");
            world.request(sender % PLAIN, &id, "/plain/1", None).await;
            round += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    futures::future::join_all(senders).await;
}

/// Guards against an overload of a cold server: its node has started while the store is unreachable, so it
/// has no document and no cold rate for the server.
#[tokio::test(flavor = "multi_thread")]
async fn without_document() {
    let mut world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    flood(&world, "before", Duration::from_millis(300)).await;
    world.store.set_unavailable(true);
    world.kill_node(PLAIN);
    let server = &world.hosts[PLAIN].server;
    server.restart_as("server-3-again");
    server.set_cold(Duration::from_secs(20));
    world.start_node(PLAIN);
    flood(&world, "after", Duration::from_secs(4)).await;
    let busiest = world.hosts[PLAIN].server.busiest_second();
    assert!(busiest <= MAX_COLD_RATE, "{busiest} requests in a second");
    assert!(
        busiest > 0,
        "the server got no requests although other nodes know its cold rate"
    );
}

/// Guards against an overload of a server's next incarnation, under the same id, before its first
/// heartbeat is received: its node takes it for the previous incarnation, which was warm.
#[tokio::test(flavor = "multi_thread")]
async fn next_incarnation() {
    let world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    let server = &world.hosts[PLAIN].server;
    let (_, ()) = tokio::join!(flood(&world, "on", Duration::from_secs(5)), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        server.crash();
        // Too short for its node to consider it unreachable.
        tokio::time::sleep(Duration::from_millis(250)).await;
        server.restart_as("server-3");
        server.set_cold(Duration::from_secs(20));
    });
    let busiest = server.busiest_second();
    assert!(busiest <= MAX_COLD_RATE, "{busiest} requests in a second");
    assert!(busiest > 0, "the next incarnation got no requests");
}
