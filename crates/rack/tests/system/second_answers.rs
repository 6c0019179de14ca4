//! Servers that send a response a second time, where the next one is expected.

use std::time::Duration;

use reqwest::StatusCode;

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
    server.copy_refusals();
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
