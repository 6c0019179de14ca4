//! Killed and terminated processes, store outages, draining servers, lost responses and slow clients.

use std::time::Duration;
use std::time::Instant;

use reqwest::StatusCode;

use super::support::World;

/// Time limit for the start of a fleet, on a busy machine.
const START: Duration = Duration::from_secs(30);
const SERVICES: [&str; 5] = ["keyed", "keyed", "keyed", "plain", "plain"];

/// Without faults every host accepts every request: the owner of its key runs it once and gets the calling
/// service's name from the node, not from the client's header.
#[tokio::test(flavor = "multi_thread")]
async fn without_faults() {
    let world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    for place in 0..SERVICES.len() {
        assert!(world.is_ready(place).await);
        let id = format!("calm-{place}");
        let got = world.request(place, &id, "/keyed/1", Some(40_000)).await;
        assert_eq!(got.status, Some(StatusCode::OK));
        let runs: u32 = world.hosts.iter().map(|host| host.server.runs(&id)).sum();
        assert_eq!(runs, 1);
    }
    let held: u32 = world.hosts.iter().map(|host| host.server.keys()).sum();
    assert_eq!(held, 65_536);
    let callers = world.hosts[0].server.callers();
    assert!(!callers.contains(&"a-lie".to_owned()), "{callers:?}");
    let missing = world.request(0, "calm-missing", "/missing/1", None).await;
    assert_eq!(missing.status, Some(StatusCode::NOT_FOUND));
}

/// Every node in turn is killed and restarted, the leader too: each key is served again within five
/// seconds of every loss.
#[tokio::test(flavor = "multi_thread")]
async fn killed_nodes() {
    let mut world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    for place in 0..SERVICES.len() {
        world.kill_node(place);
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.start_node(place);
        let took = world.wait_until_served(Duration::from_secs(10)).await;
        assert!(
            took < Duration::from_secs(5),
            "{took:?} after the loss of node-{place}"
        );
    }
}

/// The leader shuts down while no node reaches the store: keys keep their owners, since the leader hands
/// over its leadership.
#[tokio::test(flavor = "multi_thread")]
async fn leader_shutdown_without_store() {
    let mut world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    let leads = |place: &usize| !world.lines(*place, "event", "takeover_complete").is_empty();
    let leader = (0..SERVICES.len()).find(leads).unwrap();
    world.store.set_unavailable(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    world.terminate_node(leader);
    assert!(world.wait_for_exit(leader, Duration::from_secs(6)).await);
    world.start_node(leader);
    let took = world.wait_until_served(Duration::from_secs(20)).await;
    assert!(took < Duration::from_secs(5), "{took:?} without an owner");
    world.store.set_unavailable(false);
}

/// A node receives SIGTERM while it serves slow requests: it reports that it is not ready, finishes the
/// requests and exits within its grace period.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown() {
    let mut world = World::start(&["plain", "plain", "keyed"]).await;
    world.wait_until_served(START).await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_millis(700));
    }
    let requests = async {
        let asks = (0..8).map(|number| {
            let (world, id) = (&world, format!("slow-{number}"));
            async move { world.request(0, &id, "/once/1", None).await.status }
        });
        futures::future::join_all(asks).await
    };
    let shutdown = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.terminate_node(0);
        tokio::time::sleep(Duration::from_millis(100)).await;
        world.is_ready(0).await
    };
    let (answers, ready) = tokio::join!(requests, shutdown);
    assert!(!ready);
    assert_eq!(answers, vec![Some(StatusCode::OK); 8]);
    assert!(world.wait_for_exit(0, Duration::from_secs(6)).await);
}

/// A new configuration is in force on every host within two seconds, and an unreadable one changes
/// nothing.
#[tokio::test(flavor = "multi_thread")]
async fn new_config() {
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    world
        .store
        .write("config", "{\"version\": \"r9\", \"resources\": 7}");
    world.store.write("something/else", "?");
    world.write_config(2);
    let written = Instant::now();
    for place in 0..2 {
        loop {
            let got = world.request(place, "config", "/new/1", None).await;
            if got.status == Some(StatusCode::OK) {
                break;
            }
            assert!(written.elapsed() < Duration::from_secs(2));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(
            !world
                .lines(place, "event", "operators_record_unreadable")
                .is_empty()
        );
    }
}

/// A server drains: two seconds after the acknowledgement no new request reaches it, and other servers
/// serve its keys.
#[tokio::test(flavor = "multi_thread")]
async fn draining_server() {
    let world = World::start(&SERVICES).await;
    world.wait_until_served(START).await;
    world.hosts[1].server.drain();
    let until = Instant::now() + Duration::from_secs(5);
    let mut number = 0_u16;
    while Instant::now() < until {
        number = number.wrapping_add(977);
        world
            .request(0, &format!("drain-{number}"), "/keyed/1", Some(number))
            .await;
    }
    let server = &world.hosts[1].server;
    assert!(server.is_drain_acknowledged());
    assert!(
        server.ran_after_drain() < Duration::from_secs(2),
        "{:?}",
        server.ran_after_drain()
    );
    assert_eq!(server.keys(), 0);
    world.wait_until_served(Duration::from_secs(5)).await;
}

/// Servers run requests and their responses are lost. A request that may run only once is neither sent
/// again nor reported as not run; any other request is sent a second time.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers() {
    let world = World::start(&["plain", "plain", "keyed"]).await;
    world.wait_until_served(START).await;
    for host in &world.hosts {
        host.server.drop_responses(true);
    }
    let runs = |id: &str| -> u32 { world.hosts.iter().map(|host| host.server.runs(id)).sum() };
    let got = world.request(0, "lost-once", "/once/1", None).await;
    assert_eq!(got.status, Some(StatusCode::BAD_GATEWAY));
    assert_eq!(runs("lost-once"), 1);
    let got = world.request(0, "lost-plain", "/plain/1", None).await;
    assert_eq!(got.status, Some(StatusCode::BAD_GATEWAY));
    assert_eq!(runs("lost-plain"), 2);
}

/// Guards against work for a client that disconnects during the first of three pipelined requests. The HTTP
/// library has read the others already, so it reads no more and misses the close. The second may run only
/// once and has not started, so no server may get it; work on the first and the third, which have, must stop.
#[tokio::test(flavor = "multi_thread")]
async fn client_disconnects() {
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    world.hosts[0]
        .server
        .set_service_time(Duration::from_millis(400));
    let sent = [
        ("/plain/1", "leaves-first"),
        ("/once/1", "leaves-second"),
        ("/plain/1", "leaves-third"),
    ];
    world
        .send_and_close(0, &sent, Duration::from_millis(150))
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let server = &world.hosts[0].server;
    assert_eq!(server.runs("leaves-first"), 1);
    assert_eq!(server.runs("leaves-second"), 0);
    assert_eq!(server.finished("leaves-first"), 0);
    assert_eq!(server.finished("leaves-third"), 0);
}

/// Guards against connections that are closed without a response: a node receives SIGTERM while requests
/// of its clients wait in queues for longer than its grace period. Each must get a response before the
/// process exits.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_with_long_queue() {
    let mut world = World::start(&["plain", "plain", "keyed"]).await;
    world.wait_until_served(START).await;
    world.write_long_timeout_config(3);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_secs(9));
    }
    let requests = async {
        let asks = (0..30).map(|number| {
            let (world, id) = (&world, format!("queued-{number}"));
            async move { world.request_with_long_timeout(0, &id, "/plain/1").await }
        });
        futures::future::join_all(asks).await
    };
    let shutdown = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        world.terminate_node(0);
    };
    let (answers, ()) = tokio::join!(requests, shutdown);
    assert!(answers.iter().all(Option::is_some), "{answers:?}");
    assert!(world.wait_for_exit(0, Duration::from_secs(2)).await);
}

/// Guards against truncated responses: a node receives SIGTERM while large responses of its server wait for
/// the host's narrow link. No request is running then, and if the process exits, the responses are cut off
/// on their way to the requesting node and clients see failures although their requests have run.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_with_narrow_link() {
    const RESPONSE_BYTES: usize = 100_000;
    let mut world = World::start_with_link(&["keyed", "plain"], 1.0).await;
    world.write_long_timeout_config(3);
    tokio::time::sleep(Duration::from_secs(3)).await;
    world.hosts[1].server.set_response_bytes(RESPONSE_BYTES);
    let requests = async {
        let asks = (0..5).map(|number| {
            let (world, id) = (&world, format!("long-{number}"));
            async move { world.fetch_with_long_timeout(0, &id, "/plain/1").await }
        });
        futures::future::join_all(asks).await
    };
    let shutdown = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.terminate_node(1);
    };
    let (answers, ()) = tokio::join!(requests, shutdown);
    assert_eq!(answers, vec![Some(RESPONSE_BYTES); 5]);
    assert!(world.wait_for_exit(1, Duration::from_secs(6)).await);
}

/// Guards against an incomplete request head that holds its connection for fifteen seconds instead of three,
/// since the HTTP library has one timer for the head and for the idle time between requests. A client may
/// still be idle between requests for longer than a head may take.
#[tokio::test(flavor = "multi_thread")]
async fn slow_head() {
    const REQUEST: &str = "GET /plain/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: rests\r\nX-Deadline-Ms: 1500\r\n\r\n";
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(START).await;
    let idle = world.send_apart(0, REQUEST, Duration::from_millis(4_500), REQUEST);
    let slow = async {
        let began = Instant::now();
        let (start, _) = REQUEST.split_at(30);
        let answer = world.send_pieces(0, &[start], Duration::from_secs(8)).await;
        (answer, began.elapsed())
    };
    let (idle, (answer, took)) = tokio::join!(idle, slow);
    assert_eq!(idle.matches("done by").count(), 2, "{idle}");
    assert_eq!(answer, "");
    let header_time = Duration::from_secs(3)..Duration::from_secs(5);
    assert!(header_time.contains(&took), "{took:?}");
}

/// Guards against refused requests that add to the retry budget. Many requests are refused before they
/// reach a server, because of their short deadlines, and then every response is lost. If the refused ones
/// counted, most of the others would run twice, and so would the calls that they make.
#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_add_no_budget() {
    let world = World::start(&["plain", "plain", "keyed"]).await;
    world.wait_until_served(START).await;
    let asks = (0..600).map(|number| {
        let (world, id) = (&world, format!("hasty-{number}"));
        async move { world.request_with_short_timeout(0, &id, "/plain/1").await }
    });
    for status in futures::future::join_all(asks).await {
        assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    }
    for host in &world.hosts {
        host.server.drop_responses(true);
    }
    let (ran_before, repeats_before) = world.truth.repeats();
    for number in 0..100 {
        world
            .request(0, &format!("lost-{number}"), "/plain/1", None)
            .await;
    }
    let (ran, repeats) = world.truth.repeats();
    assert_eq!(ran - ran_before, 100);
    // Nine in a hundred of what ran, also at the fleet's start, and the node's share of the slack.
    let allowed = (100 + ran_before) / 10 + 5;
    let repeats = repeats - repeats_before;
    assert!(
        repeats <= allowed,
        "{repeats} repeats of 100, {allowed} allowed"
    );
}
