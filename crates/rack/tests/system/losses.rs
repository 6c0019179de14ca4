//! How long keys are without an owner after a loss.
//!
//! `QUETZALRACK_LOSSES` sets the number of losses of each kind; the median and the longest time are printed.

use std::time::Duration;

use super::support::World;

const START: Duration = Duration::from_secs(30);
/// Longest time until all keys are served again.
const MAX_RECOVERY: Duration = Duration::from_secs(5);
const SERVICES: [&str; 5] = ["keyed", "keyed", "keyed", "plain", "plain"];
/// Number of hosts with a server that holds keys; they come first.
const KEYED_HOSTS: usize = 3;
/// A server with this many keys holds at least one of the sample.
const MIN_KEYS: u32 = 10_000;
/// Pause before the next fault after a server or host has returned.
const RECOVERY_PAUSE: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The server stops responding, though its port accepts connections; another starts later.
    Server,
    /// The node's process is killed and restarted.
    Node,
    /// The host, its node and its server are lost permanently; another host joins later.
    Host,
}

fn losses() -> usize {
    let count = std::env::var("QUETZALRACK_LOSSES").ok();
    count.map_or(1, |count| count.parse().unwrap())
}

/// Selects a host whose server holds at least `MIN_KEYS` keys, in rotation; not the leader's host while the
/// store is unreachable.
fn select_host(world: &World, number: usize, store_away: bool) -> usize {
    let leader = world.leader();
    let usable = (0..KEYED_HOSTS).filter(|place| {
        let holds_enough = world.hosts[*place].server.keys() >= MIN_KEYS;
        holds_enough && (!store_away || *place != leader)
    });
    let usable: Vec<usize> = usable.collect();
    usable[number % usable.len()]
}

async fn lose(world: &mut World, loss: Loss, place: usize) -> Duration {
    match loss {
        Loss::Server => world.hosts[place].server.crash(),
        Loss::Node => {
            world.kill_node(place);
            tokio::time::sleep(Duration::from_millis(200)).await;
            world.start_node(place);
        }
        Loss::Host => {
            let host = world.hosts.remove(place);
            host.server.crash();
        }
    }
    world.time_until_served(Duration::from_secs(30)).await
}

async fn replace(world: &mut World, loss: Loss, place: usize, number: usize) {
    match loss {
        Loss::Server => world.hosts[place]
            .server
            .restart_as(&format!("next-{number}")),
        Loss::Node => {}
        Loss::Host => {
            let newcomer = world.add_host("keyed").await;
            world.start_node(newcomer);
            // The hosts with keys come first.
            let host = world.hosts.pop().unwrap();
            world.hosts.insert(0, host);
        }
    }
    tokio::time::sleep(RECOVERY_PAUSE).await;
    world.wait_until_served(START).await;
}

async fn measure(loss: Loss, store_away: bool) {
    let world = World::start(&SERVICES).await;
    measure_in(world, loss, store_away).await;
}

async fn measure_by_call(loss: Loss, store_away: bool) {
    let world = World::start_by_call(&SERVICES).await;
    measure_in(world, loss, store_away).await;
}

async fn measure_in(mut world: World, loss: Loss, store_away: bool) {
    world.wait_until_served(START).await;
    tokio::time::sleep(RECOVERY_PAUSE).await;
    let mut times = Vec::new();
    for number in 0..losses() {
        let place = select_host(&world, number, store_away);
        world.store.set_unavailable(store_away);
        tokio::time::sleep(Duration::from_millis(500)).await;
        times.push(lose(&mut world, loss, place).await);
        world.store.set_unavailable(false);
        replace(&mut world, loss, place, number).await;
    }
    times.sort();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{times:?}");
    println!("{loss:?}, store away {store_away}: median {median:?}, worst {worst:?}");
    assert!(worst < MAX_RECOVERY, "{times:?}");
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// A server stops responding: its keys are granted to others when its hold has expired.
#[tokio::test(flavor = "multi_thread")]
async fn server() {
    measure(Loss::Server, false).await;
    measure(Loss::Server, true).await;
}

/// A node is killed and restarted: it adopts what its server holds.
#[tokio::test(flavor = "multi_thread")]
async fn node() {
    measure(Loss::Node, false).await;
    measure(Loss::Node, true).await;
}

/// A host is lost permanently: its keys are granted to others when all its leases have expired.
#[tokio::test(flavor = "multi_thread")]
async fn host() {
    measure(Loss::Host, false).await;
    measure(Loss::Host, true).await;
}

/// The leader's host is lost permanently while the store is unreachable. No leader can be established
/// without the store, so keys lose their owners when the leases expire; they are served again soon after
/// the store is reachable.
#[tokio::test(flavor = "multi_thread")]
async fn leader_without_store() {
    let mut world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    tokio::time::sleep(RECOVERY_PAUSE).await;
    world.store.set_unavailable(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let host = world.hosts.remove(world.leader());
    host.server.crash();
    drop(host);
    tokio::time::sleep(Duration::from_secs(6)).await;
    world.store.set_unavailable(false);
    let recovery = world.wait_until_served(START).await;
    println!("the leader, store away: {recovery:?} after the store was back");
    assert!(recovery < MAX_RECOVERY, "{recovery:?}");
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// A server that is granted keys by call stops responding: its keys are granted to others when its hold
/// has expired.
#[tokio::test(flavor = "multi_thread")]
async fn called_server() {
    measure_by_call(Loss::Server, false).await;
    measure_by_call(Loss::Server, true).await;
}

/// A node beside a server that is granted keys by call is killed. The restarted node does not know what the
/// server holds, and renews the holding that the leader reports.
#[tokio::test(flavor = "multi_thread")]
async fn called_node() {
    measure_by_call(Loss::Node, false).await;
    measure_by_call(Loss::Node, true).await;
}

/// A host whose server is granted keys by call is lost permanently.
#[tokio::test(flavor = "multi_thread")]
async fn called_host() {
    measure_by_call(Loss::Host, false).await;
    measure_by_call(Loss::Host, true).await;
}
