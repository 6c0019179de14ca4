//! The store serves some, is slow, loses answers, does things late, or forgets its history.

use std::time::Duration;
use std::time::Instant;

use reqwest::StatusCode;

use super::support::StoreFaults;
use super::support::TurnedAway;
use super::support::World;

const START: Duration = Duration::from_secs(30);
const SERVICES: [&str; 5] = ["keyed", "keyed", "keyed", "plain", "plain"];
/// Within which time all keys are served again after a loss.
const SERVED_AGAIN: Duration = Duration::from_secs(5);
/// Within which time a configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Within which time of its return a store's news are in force: after so long a calm host counts as in
/// touch again.
const AFTER_SILENCE: Duration = Duration::from_secs(3);

async fn wait_for_config(world: &World) {
    wait_for_config_within(world, IN_FORCE).await;
}

async fn wait_for_config_within(world: &World, patience: Duration) {
    let written = Instant::now();
    for place in 0..world.hosts.len() {
        loop {
            let got = world.ask(place, "config", "/new/1", None).await;
            if got.status == Some(StatusCode::OK) {
                break;
            }
            assert!(written.elapsed() < patience, "node-{place}: {got:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// The store turns the leader's host and another away, each in its own way, while it serves the rest.
/// A configuration is in force on them too, through their peers; keys keep their owners; and when the
/// leader is lost meanwhile, a node that reaches the store follows it.
#[tokio::test(flavor = "multi_thread")]
async fn turns_some_away() {
    let mut world = World::start(&SERVICES).await;
    world.settled(START).await;
    let leader = world.leader();
    let other = (leader + 1) % SERVICES.len();
    world.hosts[leader]
        .store
        .turn_away(Some(TurnedAway::TooMany));
    world.hosts[other].store.turn_away(Some(TurnedAway::Silent));
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.write_config(2);
    wait_for_config(&world).await;
    let took = world.settled(Duration::from_secs(10)).await;
    assert!(took < Duration::from_secs(1), "{took:?} without an owner");
    world.kill_node(leader);
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.hosts[leader].store.turn_away(Some(TurnedAway::Busy));
    world.start_node(leader);
    let took = world.settled(Duration::from_secs(20)).await;
    assert!(took < SERVED_AGAIN, "{took:?} after the leader's loss");
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// The store answers slowly, then it does appends and does not say so, then it does them three seconds
/// late; the leader is killed each time. A claim whose answer was lost is found by reading on, and a
/// late one ends no leadership that came after it.
#[tokio::test(flavor = "multi_thread")]
async fn slow_lost_and_late() {
    let mut world = World::start(&SERVICES).await;
    world.settled(START).await;
    let none = StoreFaults::default();
    let troubles = [
        StoreFaults {
            slow: Duration::from_millis(250),
            ..none
        },
        StoreFaults {
            loses_answers: true,
            ..none
        },
        StoreFaults {
            late: Some(Duration::from_secs(3)),
            ..none
        },
    ];
    for faults in troubles {
        world.store.set_faults(faults);
        let leader = world.leader();
        world.kill_node(leader);
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.start_node(leader);
        let took = world.settled(Duration::from_secs(30)).await;
        assert!(took < Duration::from_secs(12), "{took:?} with {faults:?}");
        world.store.set_faults(none);
        // What comes late comes now.
        tokio::time::sleep(Duration::from_secs(4)).await;
        let took = world.settled(Duration::from_secs(10)).await;
        assert!(took < Duration::from_secs(1), "{took:?} after {faults:?}");
    }
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// Operators write, the store drops its history, and the nodes could not read meanwhile: what they ask
/// for is gone. They start from the newest record of each key, and go on with what comes after it.
#[tokio::test(flavor = "multi_thread")]
async fn forgotten_history() {
    let world = World::start(&["keyed", "plain"]).await;
    world.settled(START).await;
    world.store.set_away(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    for zone in ["zone-7", "zone-8", "zone-9"] {
        world.store.write(&format!("evacuate/{zone}"), "{}");
    }
    world.write_config(2);
    world.store.expire();
    world.store.set_away(false);
    wait_for_config(&world).await;
    world.store.write("evacuate/zone-1", "{}");
    let written = Instant::now();
    loop {
        let got = world.ask(0, "evacuated", "/plain/1", None).await;
        if got.status == Some(StatusCode::SERVICE_UNAVAILABLE) {
            break;
        }
        assert!(written.elapsed() < Duration::from_secs(5), "{got:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(world.truth.all_broken(), Vec::<String>::new());
}

/// Answers nobody for a while, begun when every node has just asked for news, and writes a configuration
/// at the end of it.
async fn silence(world: &World, length: Duration) {
    world.store.write("evacuate/zone-9", "{}");
    tokio::time::sleep(Duration::from_millis(600)).await;
    for host in &world.hosts {
        host.store.turn_away(Some(TurnedAway::Silent));
    }
    tokio::time::sleep(length).await;
    for host in &world.hosts {
        host.store.turn_away(None);
    }
    world.write_config(2);
    wait_for_config_within(world, AFTER_SILENCE).await;
}

/// Guards against an old configuration in force for seconds after the store is back, while a read that
/// was sent before hangs.
#[tokio::test(flavor = "multi_thread")]
async fn short_silence() {
    let world = World::start(&SERVICES).await;
    world.settled(START).await;
    silence(&world, Duration::from_millis(1_500)).await;
}

/// Guards against the same where the hanging read is one that was sent into the silence.
#[tokio::test(flavor = "multi_thread")]
async fn long_silence() {
    let world = World::start(&SERVICES).await;
    world.settled(START).await;
    silence(&world, Duration::from_millis(8_500)).await;
}

/// Guards against a configuration that is never in force at a node that starts, since it was written while
/// the node read the pages of what is newest.
#[tokio::test(flavor = "multi_thread")]
async fn written_between_pages() {
    let mut world = World::start(&["plain", "keyed"]).await;
    world.settled(START).await;
    for zone in ["zone-7", "zone-8", "zone-9"] {
        world.store.write(&format!("evacuate/{zone}"), "{}");
    }
    world.kill_node(0);
    world.kill_node(1);
    world.write_config_between_pages(2);
    world.start_node(0);
    world.start_node(1);
    tokio::time::sleep(Duration::from_secs(2)).await;
    world.settled(START).await;
    wait_for_config(&world).await;
}
