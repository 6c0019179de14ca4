//! A node that is too busy to take connections.

use std::time::Duration;

use reqwest::StatusCode;
use rustix::process::Signal;
use tokio::net::TcpStream;

use super::support::World;

const START: Duration = Duration::from_secs(30);
/// How long the node stands still: its leader takes it for silent meanwhile, and others look whether it
/// is there.
const STILL: Duration = Duration::from_millis(2_100);
/// How many connections fill the queue of a node that takes none.
const QUEUE: usize = 1_100;
/// How long a connection that is dropped takes at most to show that.
const OPENED: Duration = Duration::from_millis(200);

async fn fill(world: &World, place: usize) -> Vec<TcpStream> {
    let address = world.hosts[place].hops();
    let opening = (0..QUEUE).map(|_| tokio::time::timeout(OPENED, TcpStream::connect(address)));
    let opened = futures::future::join_all(opening).await;
    assert!(opened.iter().any(Result::is_err), "the queue is not full");
    opened.into_iter().flatten().flatten().collect()
}

/// Guards against a request that is given up while a server works on it: the node beside that server is busy
/// for two seconds, and the queue of its connections is full.
#[tokio::test(flavor = "multi_thread")]
async fn answer_comes() {
    let world = World::start(&["keyed", "plain", "plain"]).await;
    world.settled(START).await;
    world.write_patient_config(2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leader = world.leader();
    let (busy, other) = if leader == 1 { (2, 1) } else { (1, 2) };
    world.hosts[other].server.drain();
    world.hosts[busy].server.set_work(Duration::from_secs(4));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let asked = world.ask_patiently(0, "long", "/plain/1");
    let stands = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.hosts[busy].process().signal(Signal::STOP);
        let queue = fill(&world, busy).await;
        tokio::time::sleep(STILL - OPENED).await;
        world.hosts[busy].process().signal(Signal::CONT);
        queue
    };
    let (status, _queue) = tokio::join!(asked, stands);
    assert_eq!(status, Some(StatusCode::OK));
    assert_eq!(world.hosts[busy].server.runs("long"), 1);
}
