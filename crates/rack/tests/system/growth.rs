//! Hosts join and keys move under load.

use std::time::Duration;
use std::time::Instant;

use reqwest::StatusCode;

use super::support::World;

const START: Duration = Duration::from_secs(30);
/// How many clients send requests, each one at a time.
const CLIENTS: u16 = 40;

/// Requests the `count` keys from `first` on until a point in time; returns the number of responses with
/// status 200 and the statuses of the others.
async fn request_until(
    world: &World,
    name: &str,
    first: u16,
    count: u16,
    until: Instant,
) -> (usize, Vec<Option<StatusCode>>) {
    let clients = (0..CLIENTS).map(|client| async move {
        let (mut good, mut other) = (0, Vec::new());
        let mut number = 0_u16;
        while Instant::now() < until {
            number += 1;
            let key = first + (client.wrapping_mul(7_919) ^ number.wrapping_mul(613)) % count;
            let place = usize::from(client) % world.hosts.len();
            let id = format!("{name}-{client}-{number}");
            match world
                .request(place, &id, "/keyed/1", Some(key))
                .await
                .status
            {
                Some(StatusCode::OK) => good += 1,
                status => other.push(status),
            }
        }
        (good, other)
    });
    let all = futures::future::join_all(clients).await;
    let good = all.iter().map(|(good, _)| good).sum();
    (good, all.into_iter().flat_map(|(_, other)| other).collect())
}

/// A host with a server without keys joins while clients request all keys: the server gets keys and
/// requests for them, fewer than one request is refused for fifty served, and none fails otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn new_host() {
    let mut world = World::start(&["keyed", "keyed", "plain"]).await;
    world.wait_until_served(START).await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_millis(30));
    }
    let place = world.add_host("keyed").await;
    world.hosts[place]
        .server
        .set_service_time(Duration::from_millis(30));
    // Clients send their requests to the earlier hosts only.
    let newcomer = world.hosts.pop().unwrap();
    let until = Instant::now() + Duration::from_secs(9);
    let requests = request_until(&world, "join", 0, 65_535, until);
    let joined = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        newcomer.spawn()
    };
    let ((good, other), process) = tokio::join!(requests, joined);
    let refused = Some(StatusCode::SERVICE_UNAVAILABLE);
    assert!(other.iter().all(|status| *status == refused), "{other:?}");
    assert!(other.len() * 50 < good, "{} of {good}", other.len());
    assert!(newcomer.server.keys() > 0);
    assert!(!newcomer.server.callers().is_empty());
    assert_eq!(world.truth.violations(), Vec::<String>::new());
    drop(process);
}

/// All clients request two hundred adjacent keys of one server, more than it can serve. The range is split
/// and distributed: seconds later several servers share the requests.
#[tokio::test(flavor = "multi_thread")]
async fn hot_range_spreads() {
    let world = World::start(&["keyed", "keyed", "keyed", "plain"]).await;
    world.wait_until_served(START).await;
    for host in &world.hosts {
        // Ten slots serve 50 requests a second; the clients send up to 200.
        host.server.set_service_time(Duration::from_millis(200));
    }
    let until = Instant::now() + Duration::from_secs(8);
    request_until(&world, "hot", 40_000, 200, until).await;
    let before: Vec<usize> = world
        .hosts
        .iter()
        .map(|host| host.server.callers().len())
        .collect();
    let until = Instant::now() + Duration::from_secs(4);
    let (good, _) = request_until(&world, "spread", 40_000, 200, until).await;
    let after = world.hosts.iter().map(|host| host.server.callers().len());
    let runs: Vec<usize> = after
        .zip(before)
        .map(|(after, before)| after - before)
        .collect();
    let shared = runs.iter().filter(|runs| **runs * 5 > good).count();
    assert!(shared >= 2, "{runs:?} of {good}");
    let moved: usize = (0..4)
        .map(|place| world.lines(place, "event", "keys_moved").len())
        .sum();
    assert!(moved > 0);
    assert_eq!(world.truth.violations(), Vec::<String>::new());
}
