//! Clients that pipeline requests.

use std::time::Duration;
use std::time::Instant;

use super::support::World;

/// Guards against pipelined requests that run one after another. Four requests of half a second each would
/// take two seconds, and the last would be late although servers are idle. They run concurrently, and the
/// responses come in the order of the requests.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests() {
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(Duration::from_secs(30)).await;
    world.hosts[0]
        .server
        .set_service_time(Duration::from_millis(500));
    let started = Instant::now();
    let ids = ["one", "two", "three", "four"];
    assert_eq!(world.send_all(0, &ids).await, ids);
    let took = started.elapsed();
    assert!(took < Duration::from_millis(1_200), "{took:?}");
    for id in ids {
        assert_eq!(world.hosts[0].server.runs(id), 1);
    }
}

const SLOW: &str = "GET /plain/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 1500\r\n\r\n";
const HIDDEN: &str = "GET /plain/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: hidden\r\nX-Deadline-Ms: 1500\r\n\r\n";

fn with_body(id: &str, framing: &str, body: &str) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n{framing}\r\n\r\n{body}"
    )
}

/// Guards against request smuggling: the body of a request looks like a request. A node that reads ahead of
/// the HTTP library and mistakes the end of a body would run a request that no client sent.
#[tokio::test(flavor = "multi_thread")]
async fn request_in_body() {
    let world = World::start(&["plain", "keyed"]).await;
    world.wait_until_served(Duration::from_secs(30)).await;
    world.hosts[0]
        .server
        .set_service_time(Duration::from_millis(200));
    let server = &world.hosts[0].server;
    let length = HIDDEN.len();
    let counted = with_body("counted", &format!("Content-Length: {length}"), HIDDEN);
    let chunk = format!("{length:x}\r\n{HIDDEN}\r\n0\r\n\r\n");
    let chunked = with_body("chunked", "Transfer-Encoding: chunked", &chunk);
    for (id, request) in [("counted", counted), ("chunked", chunked)] {
        let (first, rest) = request.split_at(request.len() - length / 2);
        let last = SLOW.replace("slow", &format!("after-{id}"));
        let pieces = [SLOW, first, rest, last.as_str()];
        let answers = world
            .send_pieces(0, &pieces, Duration::from_millis(1_500))
            .await;
        assert_eq!(answers.matches("done by").count(), 3, "{answers}");
        assert_eq!(server.runs(id), 1);
        assert_eq!(server.runs(&format!("after-{id}")), 1);
        assert_eq!(server.runs("hidden"), 0);
    }
}
