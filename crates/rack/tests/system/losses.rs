//! How long keys are without an owner after a loss, with real processes.
//!
//! `QUETZALRACK_LOSSES` asks for more losses of each kind; the median and the worst are printed.

use std::time::Duration;

use super::support::World;

const START: Duration = Duration::from_secs(30);
/// Within which time all keys are served again.
const SERVED_AGAIN: Duration = Duration::from_secs(5);
const SERVICES: [&str; 5] = ["keyed", "keyed", "keyed", "plain", "plain"];
/// The hosts with a server that holds keys.
const KEYED: usize = 3;
/// So many keys surely hold one of the sample.
const MANY: u32 = 10_000;
/// How long a server or host that has come back is left alone.
const REST: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The server falls silent, though its port takes connections; another starts later.
    Server,
    /// The process is killed and starts again.
    Node,
    /// The host, its process and its server are gone for good; another host joins later.
    Host,
}

fn losses() -> usize {
    let count = std::env::var("QUETZALRACK_LOSSES").ok();
    count.map_or(1, |count| count.parse().unwrap())
}

/// Returns a host whose server has many keys, in turn; another than the leader's if the store is away.
fn victim(world: &World, number: usize, store_away: bool) -> usize {
    let leader = world.leader();
    let usable = (0..KEYED).filter(|place| {
        let has_many = world.hosts[*place].server.keys() >= MANY;
        has_many && (!store_away || *place != leader)
    });
    let usable: Vec<usize> = usable.collect();
    usable[number % usable.len()]
}

async fn lose(world: &mut World, loss: Loss, place: usize) -> Duration {
    match loss {
        Loss::Server => world.hosts[place].server.die(),
        Loss::Node => {
            world.kill_node(place);
            tokio::time::sleep(Duration::from_millis(200)).await;
            world.start_node(place);
        }
        Loss::Host => {
            let host = world.hosts.remove(place);
            host.server.die();
        }
    }
    world.served_after(Duration::from_secs(30)).await
}

async fn replace(world: &mut World, loss: Loss, place: usize, number: usize) {
    match loss {
        Loss::Server => world.hosts[place].server.reborn(&format!("next-{number}")),
        Loss::Node => {}
        Loss::Host => {
            let newcomer = world.add_host("keyed").await;
            world.start_node(newcomer);
            // The hosts with keys stay the first ones.
            let host = world.hosts.pop().unwrap();
            world.hosts.insert(0, host);
        }
    }
    tokio::time::sleep(REST).await;
    world.settled(START).await;
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
    world.settled(START).await;
    tokio::time::sleep(REST).await;
    let mut times = Vec::new();
    for number in 0..losses() {
        let place = victim(&world, number, store_away);
        world.store.set_away(store_away);
        tokio::time::sleep(Duration::from_millis(500)).await;
        times.push(lose(&mut world, loss, place).await);
        world.store.set_away(false);
        replace(&mut world, loss, place, number).await;
    }
    times.sort();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{times:?}");
    println!("{loss:?}, store away {store_away}: median {median:?}, worst {worst:?}");
    assert!(worst < SERVED_AGAIN, "{times:?}");
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// A server falls silent: its keys are given to others when its hold has run out.
#[tokio::test(flavor = "multi_thread")]
async fn server() {
    measure(Loss::Server, false).await;
    measure(Loss::Server, true).await;
}

/// A process is killed and starts again: it takes up what its server holds.
#[tokio::test(flavor = "multi_thread")]
async fn node() {
    measure(Loss::Node, false).await;
    measure(Loss::Node, true).await;
}

/// A host is gone for good: its keys are given to others when every lease of it has ended.
#[tokio::test(flavor = "multi_thread")]
async fn host() {
    measure(Loss::Host, false).await;
    measure(Loss::Host, true).await;
}

/// The leader's host is gone for good while the store is away. Nobody can be named as the next leader
/// without the store, so keys lose their owners with their leases; they are served again soon after the
/// store is back.
#[tokio::test(flavor = "multi_thread")]
async fn leader_without_store() {
    let mut world = World::start(&SERVICES).await;
    world.settled(START).await;
    tokio::time::sleep(REST).await;
    world.store.set_away(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let host = world.hosts.remove(world.leader());
    host.server.die();
    drop(host);
    tokio::time::sleep(Duration::from_secs(6)).await;
    world.store.set_away(false);
    let took = world.settled(START).await;
    println!("the leader, store away: {took:?} after the store was back");
    assert!(took < SERVED_AGAIN, "{took:?}");
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// A server that is granted keys by call falls silent: its keys are given to others when its hold has
/// run out.
#[tokio::test(flavor = "multi_thread")]
async fn called_server() {
    measure_by_call(Loss::Server, false).await;
    measure_by_call(Loss::Server, true).await;
}

/// A process is killed beside a server that is granted keys by call. The next one does not know what the
/// server holds, and renews what the leader says that it does.
#[tokio::test(flavor = "multi_thread")]
async fn called_node() {
    measure_by_call(Loss::Node, false).await;
    measure_by_call(Loss::Node, true).await;
}

/// A host whose server was granted keys by call is gone for good.
#[tokio::test(flavor = "multi_thread")]
async fn called_host() {
    measure_by_call(Loss::Host, false).await;
    measure_by_call(Loss::Host, true).await;
}
