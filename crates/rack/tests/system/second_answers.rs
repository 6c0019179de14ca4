//! Servers that send a response a second time, where the next one is expected.

use std::collections::BTreeSet;
use std::time::Duration;

use reqwest::StatusCode;

use super::support::CopiedResponses;
use super::support::World;

const START: Duration = Duration::from_secs(30);
const REQUESTS: usize = 20;

/// Guards against a request that may run once only and is answered "not run" while it runs: the second copy
/// of its refusal is taken for the response to its repeat, which bears the same id.
#[tokio::test(flavor = "multi_thread")]
async fn refusal() {
    let world = World::start(&["keyed", "plain"]).await;
    world.wait_until_served(START).await;
    let server = &world.hosts[0].server;
    for warm_up in 0..100 {
        let id = format!("warm-up-{warm_up}");
        world.request(1, &id, "/keyed/1", Some(warm_up)).await;
    }
    server.copy_responses(CopiedResponses::Refusals);
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("once-{number}");
        server.refuse_once(&id);
        let response = world.post_keyed(1, &id, "/order/1", number as u16).await;
        let runs = server.runs(&id);
        match response.status {
            Some(StatusCode::SERVICE_UNAVAILABLE) => assert_eq!(runs, 0, "{id} runs: {response:?}"),
            _ => assert!(runs <= 1, "{id} ran {runs} times: {response:?}"),
        }
        served += usize::from(response.status == Some(StatusCode::OK));
    }
    assert!(
        served * 2 > REQUESTS,
        "only {served} of {REQUESTS} are repeated and served"
    );
}

/// Guards against two servers at work on a key: a server is to release its keys, and the second copy of its
/// response to a grant is taken for the word that its work on them has ended.
#[tokio::test(flavor = "multi_thread")]
async fn grant() {
    let world = World::start_by_call(&["keyed", "keyed", "plain"]).await;
    world.wait_until_served(START).await;
    let server = &world.hosts[0].server;
    server.set_service_time(Duration::from_millis(900));
    server.copy_responses(CopiedResponses::Grants);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let requests = (0..8_u16).map(|number| {
        let world = &world;
        async move {
            let key = number * 8_192 + 1;
            let id = format!("long-{number}");
            world.request(2, &id, "/keyed/1", Some(key)).await;
        }
    });
    let leaving = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        server.drain();
        let mut overlaps = BTreeSet::new();
        for _ in 0..100 {
            overlaps.extend(world.hosts[1].server.granted_keys_running_at(server));
            tokio::time::sleep(Duration::from_millis(8)).await;
        }
        overlaps
    };
    let (_, overlaps) = tokio::join!(futures::future::join_all(requests), leaving);
    assert!(
        overlaps.is_empty(),
        "granted to another while at work on them: {overlaps:?}"
    );
    assert!(server.released() > 0, "nothing was released");
}
