//! Servers that have just started and bear little.

use std::time::Duration;
use std::time::Instant;

use super::support::World;

const START: Duration = Duration::from_secs(30);
const SERVICES: [&str; 4] = ["keyed", "keyed", "keyed", "plain"];
/// The place of the only server of its service.
const PLAIN: usize = 3;
/// What a cold server bears in a second: by its document 25, by the bounds half more and 5.
const BEARABLE: usize = 42;

/// Sends requests for the only plain server from all other hosts for a while, many at a time.
async fn flood(world: &World, name: &str, time: Duration) {
    let until = Instant::now() + time;
    let senders = (0..60).map(|sender| async move {
        let mut round = 0;
        while Instant::now() < until {
            let id = format!("{name}-{sender}-{round}");
            world.ask(sender % PLAIN, &id, "/plain/1", None).await;
            round += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    futures::future::join_all(senders).await;
}

/// Guards against a flood of a cold server whose node has started while the store is away and knows no
/// document, and so no figure for what the server bears.
#[tokio::test(flavor = "multi_thread")]
async fn without_document() {
    let mut world = World::start(&SERVICES).await;
    world.settled(START).await;
    flood(&world, "before", Duration::from_millis(300)).await;
    world.store.set_away(true);
    world.kill_node(PLAIN);
    let server = &world.hosts[PLAIN].server;
    server.reborn("server-3-again");
    server.set_cold(Duration::from_secs(20));
    world.start_node(PLAIN);
    flood(&world, "after", Duration::from_secs(4)).await;
    let most = world.hosts[PLAIN].server.busiest_second();
    assert!(most <= BEARABLE, "{most} requests in a second");
    assert!(
        most > 0,
        "the server got none although others know what it bears"
    );
}

/// Guards against a flood of a server's next life, under the same id, before its first heartbeat is heard:
/// its node takes it for the one before, which was warm.
#[tokio::test(flavor = "multi_thread")]
async fn next_life() {
    let world = World::start(&SERVICES).await;
    world.settled(START).await;
    let server = &world.hosts[PLAIN].server;
    let (_, ()) = tokio::join!(flood(&world, "on", Duration::from_secs(5)), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        server.die();
        // Not long enough for its node to take it for gone.
        tokio::time::sleep(Duration::from_millis(250)).await;
        server.reborn("server-3");
        server.set_cold(Duration::from_secs(20));
    });
    let most = server.busiest_second();
    assert!(most <= BEARABLE, "{most} requests in a second");
    assert!(most > 0, "the next life got no requests");
}
