//! Backend servers that are granted keys by call.

use std::time::Duration;

use reqwest::StatusCode;

use super::support::CallFault;
use super::support::World;

const START: Duration = Duration::from_secs(30);
const SERVICES: [&str; 4] = ["keyed", "keyed", "keyed", "plain"];
/// Sample of the key space with at least one key of every server.
const KEYS: [u16; 6] = [0, 13_000, 26_000, 39_000, 52_000, 65_535];

async fn started() -> World {
    let world = World::start_by_call(&SERVICES).await;
    world.wait_until_served(START).await;
    world
}

/// Sends a request for each key of the sample; returns the statuses other than 200.
async fn failures(world: &World, name: &str) -> Vec<Option<StatusCode>> {
    let requests = KEYS.iter().enumerate().map(|(place, key)| async move {
        let id = format!("{name}-{key}");
        let host = place % world.hosts.len();
        world
            .request(host, &id, "/keyed/1", Some(*key))
            .await
            .status
    });
    let all = futures::future::join_all(requests).await;
    all.into_iter()
        .filter(|status| *status != Some(StatusCode::OK))
        .collect()
}

/// Without faults every key is served, for longer than a grant lasts.
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
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// Guards against failed requests while a busy server drains: its node releases the server's keys by
/// calls, and other servers are granted them.
#[tokio::test(flavor = "multi_thread")]
async fn drained() {
    let world = started().await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_millis(50));
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
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// Guards against two holders of a key: a server carries out its calls without a response, so its node
/// gives up the keys. No other server gets them before the grants of the first have expired.
#[tokio::test(flavor = "multi_thread")]
async fn unanswered() {
    let world = started().await;
    world.hosts[0].server.set_calls(CallFault::Unanswered);
    tokio::time::sleep(Duration::from_secs(4)).await;
    world.hosts[0].server.drain();
    world.time_until_served(START).await;
    assert_eq!(failures(&world, "later").await, Vec::new());
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// Guards against two holders of a key: calls are carried out three seconds late, when the server drains
/// and others hold its keys. What a late call grants has expired by then.
#[tokio::test(flavor = "multi_thread")]
async fn late() {
    let world = started().await;
    world.hosts[1]
        .server
        .set_calls(CallFault::Late(Duration::from_secs(3)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.hosts[1].server.drain();
    tokio::time::sleep(Duration::from_secs(6)).await;
    world.time_until_served(START).await;
    assert_eq!(failures(&world, "later").await, Vec::new());
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// A new incarnation of a server starts under the same id. It holds no earlier grants and is granted keys
/// with higher tokens.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_server() {
    let world = started().await;
    world.hosts[2].server.restart_as("server-2");
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.time_until_served(START).await;
    assert_eq!(failures(&world, "later").await, Vec::new());
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// The node beside a server is killed and restarted: the server keeps its keys or soon regains them, and
/// no other server gets them meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn killed() {
    let mut world = started().await;
    for place in 0..3 {
        world.kill_node(place);
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.start_node(place);
        world.wait_until_served(START).await;
        assert_eq!(
            failures(&world, &format!("killed-{place}")).await,
            Vec::new()
        );
    }
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}
