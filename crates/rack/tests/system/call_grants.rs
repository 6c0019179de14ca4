//! Servers that are granted keys by call, with real processes.

use std::time::Duration;

use reqwest::StatusCode;

use super::support::CallFault;
use super::support::World;

const START: Duration = Duration::from_secs(30);
const SERVICES: [&str; 4] = ["keyed", "keyed", "keyed", "plain"];
/// Keys of every server are among these.
const KEYS: [u16; 6] = [0, 13_000, 26_000, 39_000, 52_000, 65_535];

async fn started() -> World {
    let world = World::start_by_call(&SERVICES).await;
    world.settled(START).await;
    world
}

/// Asks for all keys; returns the statuses that are not 200.
async fn failures(world: &World, name: &str) -> Vec<Option<StatusCode>> {
    let asked = KEYS.iter().enumerate().map(|(place, key)| async move {
        let id = format!("{name}-{key}");
        let host = place % world.hosts.len();
        world.ask(host, &id, "/keyed/1", Some(*key)).await.status
    });
    let all = futures::future::join_all(asked).await;
    all.into_iter()
        .filter(|status| *status != Some(StatusCode::OK))
        .collect()
}

/// Nothing goes wrong: every key is served, for longer than a grant lasts.
#[tokio::test(flavor = "multi_thread")]
async fn renewed() {
    let world = started().await;
    for round in 0..8 {
        assert_eq!(
            failures(&world, &format!("round-{round}")).await,
            Vec::new()
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// A server says that it leaves while it works. Its node takes its keys back by calls, and the others
/// have them soon; no request fails on the way.
#[tokio::test(flavor = "multi_thread")]
async fn drained() {
    let world = started().await;
    for host in &world.hosts {
        host.server.set_work(Duration::from_millis(50));
    }
    world.hosts[0].server.drain();
    for round in 0..10 {
        assert_eq!(
            failures(&world, &format!("drain-{round}")).await,
            Vec::new()
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(world.hosts[0].server.keys(), 0);
    assert!(world.hosts[0].server.released() > 0);
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// A server obeys its calls and does not answer. Its node can count on nothing and gives up its keys;
/// nobody else gets them before the server must have lost them.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered() {
    let world = started().await;
    world.hosts[0].server.set_calls(CallFault::Unanswered);
    tokio::time::sleep(Duration::from_secs(4)).await;
    world.hosts[0].server.drain();
    world.served_after(START).await;
    assert_eq!(failures(&world, "later").await, Vec::new());
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// Calls are obeyed three seconds late, when the server has said that it leaves and its keys are with
/// others: what a late call grants has run out by then.
#[tokio::test(flavor = "multi_thread")]
async fn late() {
    let world = started().await;
    world.hosts[1]
        .server
        .set_calls(CallFault::Late(Duration::from_secs(3)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.hosts[1].server.drain();
    tokio::time::sleep(Duration::from_secs(6)).await;
    world.served_after(START).await;
    assert_eq!(failures(&world, "later").await, Vec::new());
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// Another life of a server starts under the same id. It holds nothing of before and is granted keys with
/// higher tokens.
#[tokio::test(flavor = "multi_thread")]
async fn reborn() {
    let world = started().await;
    world.hosts[2].server.reborn("server-2");
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.served_after(START).await;
    assert_eq!(failures(&world, "later").await, Vec::new());
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// The process beside a server is killed and starts again: the server keeps its keys, or has them again
/// soon, and no other gets them meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn killed() {
    let mut world = started().await;
    for place in 0..3 {
        world.kill_node(place);
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.start_node(place);
        world.settled(START).await;
        assert_eq!(
            failures(&world, &format!("killed-{place}")).await,
            Vec::new()
        );
    }
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}
