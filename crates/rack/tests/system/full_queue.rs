//! A node that is too busy to accept connections.

use std::time::Duration;

use reqwest::StatusCode;
use rustix::process::Signal;
use tokio::net::TcpStream;

use super::support::World;

const START: Duration = Duration::from_secs(30);
/// How long the node's process is stopped: long enough that its leader considers it unresponsive and
/// other nodes probe it.
const PAUSE: Duration = Duration::from_millis(2_100);
/// How many connections fill the accept queue of a node that accepts none.
const QUEUE_SIZE: usize = 1_100;
/// Time after which a connection that is not open counts as dropped.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

async fn fill_accept_queue(world: &World, place: usize) -> Vec<TcpStream> {
    let address = world.hosts[place].hops();
    let opening =
        (0..QUEUE_SIZE).map(|_| tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)));
    let opened = futures::future::join_all(opening).await;
    assert!(opened.iter().any(Result::is_err), "the queue is not full");
    opened.into_iter().flatten().flatten().collect()
}

/// Guards against a request that is abandoned while a server works on it: the node beside that server is
/// unresponsive for two seconds, and its accept queue is full.
#[tokio::test(flavor = "multi_thread")]
async fn request_completes() {
    let world = World::start(&["keyed", "plain", "plain"]).await;
    world.wait_until_served(START).await;
    world.write_long_timeout_config(2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leader = world.leader();
    let (busy, other) = if leader == 1 { (2, 1) } else { (1, 2) };
    world.hosts[other].server.drain();
    world.hosts[busy]
        .server
        .set_service_time(Duration::from_secs(4));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let request = world.request_with_long_timeout(0, "long", "/plain/1");
    let pause = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.hosts[busy].process().stop();
        let queue = fill_accept_queue(&world, busy).await;
        tokio::time::sleep(PAUSE - CONNECT_TIMEOUT).await;
        world.hosts[busy].process().signal(Signal::CONT);
        queue
    };
    let (status, _queue) = tokio::join!(request, pause);
    assert_eq!(status, Some(StatusCode::OK));
    assert_eq!(world.hosts[busy].server.runs("long"), 1);
}
