//! A store that refuses some hosts, is slow, loses responses, applies appends late or drops its history.

use std::time::Duration;
use std::time::Instant;

use reqwest::StatusCode;

use super::support::EndpointFault;
use super::support::StoreFaults;
use super::support::World;

const START: Duration = Duration::from_secs(30);
const SERVICES: [&str; 5] = ["keyed", "keyed", "keyed", "plain", "plain"];
/// Longest time until all keys are served again after a loss.
const MAX_RECOVERY: Duration = Duration::from_secs(5);
/// Longest time until a configuration is in force.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(2);

/// Longest time from the store's return until its newest configuration is in force. After the same time
/// without faults a host counts as connected again.
const MAX_DELAY_AFTER_OUTAGE: Duration = Duration::from_secs(3);

async fn wait_for_config(world: &World) {
    wait_for_config_within(world, MAX_CONFIG_DELAY).await;
}

async fn wait_for_config_within(world: &World, timeout: Duration) {
    let written = Instant::now();
    for place in 0..world.hosts.len() {
        loop {
            let got = world.request(place, "config", "/new/1", None).await;
            if got.status == Some(StatusCode::OK) {
                break;
            }
            assert!(written.elapsed() < timeout, "node-{place}: {got:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The store refuses the leader's host and ignores another one, while it serves the others. A
/// configuration comes into force on these two as well, through their peers, and keys keep their owners.
/// When the leader is lost meanwhile, a node that reaches the store takes over.
#[tokio::test(flavor = "multi_thread")]
async fn refuses_some_hosts() {
    let mut world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    let leader = world.leader();
    let other = (leader + 1) % SERVICES.len();
    world.hosts[leader]
        .store
        .set_fault(Some(EndpointFault::TooMany));
    world.hosts[other]
        .store
        .set_fault(Some(EndpointFault::Silent));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.write_config(2);
    wait_for_config(&world).await;
    let took = world.wait_until_served(Duration::from_secs(10)).await;
    assert!(took < Duration::from_secs(1), "{took:?} without an owner");
    world.kill_node(leader);
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.hosts[leader]
        .store
        .set_fault(Some(EndpointFault::Busy));
    world.start_node(leader);
    let took = world.wait_until_served(Duration::from_secs(20)).await;
    assert!(took < MAX_RECOVERY, "{took:?} after the leader's loss");
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// The store responds slowly, then applies appends without a response, then applies them three seconds
/// late; the leader is killed each time. A claim whose response was lost is found by reading further, and
/// a late claim ends no later leadership.
#[tokio::test(flavor = "multi_thread")]
async fn slow_lost_and_late() {
    let mut world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    let none = StoreFaults::default();
    let fault_cases = [
        StoreFaults {
            slow: Duration::from_millis(250),
            ..none
        },
        StoreFaults {
            drops_replies: true,
            ..none
        },
        StoreFaults {
            late: Some(Duration::from_secs(3)),
            ..none
        },
    ];
    for faults in fault_cases {
        world.store.set_faults(faults);
        let leader = world.leader();
        world.kill_node(leader);
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.start_node(leader);
        let took = world.wait_until_served(Duration::from_secs(30)).await;
        assert!(took < Duration::from_secs(12), "{took:?} with {faults:?}");
        world.store.set_faults(none);
        // Late appends are applied in this time.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let took = world.wait_until_served(Duration::from_secs(10)).await;
        assert!(took < Duration::from_secs(1), "{took:?} after {faults:?}");
    }
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// The store drops its history while the nodes can't read, after operators have written: the offset that the
/// nodes read next has expired. They start from the newest record of each key and continue from there.
#[tokio::test(flavor = "multi_thread")]
async fn dropped_history() {
    let world = World::start(&["keyed", "plain"]).await;
    world.wait_until_served(START).await;
    world.store.set_unavailable(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for zone in ["zone-7", "zone-8", "zone-9"] {
        world.store.write(&format!("evacuate/{zone}"), "{}");
    }
    world.write_config(2);
    world.store.expire();
    world.store.set_unavailable(false);
    wait_for_config(&world).await;
    world.store.write("evacuate/zone-1", "{}");
    let written = Instant::now();
    loop {
        let got = world.request(0, "evacuated", "/plain/1", None).await;
        if got.status == Some(StatusCode::SERVICE_UNAVAILABLE) {
            break;
        }
        assert!(written.elapsed() < Duration::from_secs(5), "{got:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}

/// Makes the store unresponsive for `length`, starting just after every node has sent a read, and writes a
/// configuration at the end of the outage.
async fn unresponsive_store(world: &World, length: Duration) {
    world.store.write("evacuate/zone-9", "{}");
    tokio::time::sleep(Duration::from_millis(600)).await;
    for host in &world.hosts {
        host.store.set_fault(Some(EndpointFault::Silent));
    }
    tokio::time::sleep(length).await;
    for host in &world.hosts {
        host.store.set_fault(None);
    }
    world.write_config(2);
    wait_for_config_within(world, MAX_DELAY_AFTER_OUTAGE).await;
}

/// Guards against an old configuration that stays in force for seconds after the store's return, because
/// a read that was sent before the outage hangs.
#[tokio::test(flavor = "multi_thread")]
async fn short_outage() {
    let world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    unresponsive_store(&world, Duration::from_millis(1_500)).await;
}

/// Guards against an old configuration that stays in force for seconds after the store's return, because
/// a read that was sent during the outage hangs.
#[tokio::test(flavor = "multi_thread")]
async fn long_outage() {
    let world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    unresponsive_store(&world, Duration::from_millis(8_500)).await;
}

/// Guards against a configuration that never comes into force at a starting node, because it is written
/// while the node reads the pages of the newest records.
#[tokio::test(flavor = "multi_thread")]
async fn written_between_pages() {
    let mut world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    for zone in ["zone-7", "zone-8", "zone-9"] {
        world.store.write(&format!("evacuate/{zone}"), "{}");
    }
    world.kill_node(0);
    world.kill_node(1);
    world.write_config_between_pages(2);
    world.start_node(0);
    world.start_node(1);
    tokio::time::sleep(Duration::from_secs(2)).await;
    world.wait_until_served(START).await;
    wait_for_config(&world).await;
}
