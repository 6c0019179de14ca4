//! Requests that come, wait or run late in the grace period of a process that received SIGTERM.

use std::time::Duration;
use std::time::Instant;

use reqwest::StatusCode;

use super::support::ConnectionOutcome;
use super::support::World;

const START: Duration = Duration::from_secs(30);
/// Time after SIGTERM by which a process of the tests' grace period has exited.
const EXITED: Duration = Duration::from_secs(8);
/// A service time that ends after the process.
const ENDLESS: Duration = Duration::from_secs(9);
/// How long a client may take from the opened connection to its first request.
const CLIENT_PAUSE: Duration = Duration::from_millis(50);
/// How many requests a server of the tests serves at once.
const SLOTS: usize = 10;

/// Starts hosts with routes whose timeouts outlast the grace period.
async fn started(services: &[&str]) -> World {
    let world = World::start(services).await;
    world.wait_until_served(START).await;
    world.write_long_timeout_config(2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    world
}

fn get(id: &str, deadline_ms: u32) -> String {
    format!(
        "GET /plain/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Returns a request that may run once only; its deadline lies after the end of the process.
fn post(id: &str, body: &str) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 15000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn first_line(answer: &str) -> &str {
    answer.lines().next().unwrap_or_default()
}

async fn wait_for_runs(world: &World, ids: &[&str]) {
    let started = Instant::now();
    while ids.iter().any(|id| world.truth.runs(id).is_empty()) {
        assert!(started.elapsed() < START, "not every request runs");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a request that is passed on late since its body was still being read when the port
/// closed.
#[tokio::test(flavor = "multi_thread")]
async fn slow_body() {
    let world = started(&["plain", "keyed"]).await;
    world.hosts[0].server.set_service_time(ENDLESS);
    let request = post("late", "0123456789");
    let (first, rest) = request.split_at(request.len() - 5);
    let answer = world.send_apart(0, first, Duration::from_millis(3_500), rest);
    let terminate = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.terminate_node(0);
    };
    let (answer, ()) = tokio::join!(answer, terminate);
    assert!(
        first_line(&answer).starts_with("HTTP/1.1 503"),
        "{answer:?}"
    );
    assert!(world.truth.runs("late").is_empty());
}

/// Guards against a connection that is cut at the end without an answer while its request's body is read.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_body() {
    let world = started(&["plain", "keyed"]).await;
    let request = post("late", "0123456789");
    let (first, _) = request.split_at(request.len() - 5);
    let pieces = [first];
    let answer = world.send_pieces(0, &pieces, EXITED);
    let terminate = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.terminate_node(0);
    };
    let (answer, ()) = tokio::join!(answer, terminate);
    assert!(
        first_line(&answer).starts_with("HTTP/1.1 503"),
        "{answer:?}"
    );
}

/// Guards against a request that waited for its turn, is passed on late and is cut at the end.
#[tokio::test(flavor = "multi_thread")]
async fn late_turn() {
    let world = started(&["plain", "keyed"]).await;
    world.hosts[0]
        .server
        .set_service_time(Duration::from_secs(4));
    let ids: Vec<String> = (0..SLOTS).map(|number| format!("busy-{number}")).collect();
    let busy = ids
        .iter()
        .map(|id| world.request_with_long_timeout(0, id, "/plain/1"));
    let late = async {
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        wait_for_runs(&world, &ids).await;
        let request = post("late", "body");
        let pieces = [request.as_str()];
        let answer = world.send_pieces(0, &pieces, EXITED);
        let terminate = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            world.terminate_node(0);
        };
        tokio::join!(answer, terminate).0
    };
    let (busy, late) = tokio::join!(futures::future::join_all(busy), late);
    assert_eq!(busy, vec![Some(StatusCode::OK); SLOTS]);
    assert!(first_line(&late).starts_with("HTTP/1.1 503"), "{late:?}");
    assert!(world.truth.runs("late").is_empty());
}

/// Guards against a request that is sent to a second server late and is cut there at the end.
#[tokio::test(flavor = "multi_thread")]
async fn late_retry() {
    let world = started(&["plain", "plain", "keyed"]).await;
    for host in &world.hosts[..2] {
        host.server.set_service_time(Duration::from_secs(4));
        host.server.drop_responses(true);
    }
    let request = world.request_with_long_timeout(0, "late", "/plain/1");
    let terminate = async {
        wait_for_runs(&world, &["late"]).await;
        world.terminate_node(0);
    };
    let (status, ()) = tokio::join!(request, terminate);
    assert_eq!(status, Some(StatusCode::BAD_GATEWAY));
    assert_eq!(world.truth.runs("late").len(), 1);
}

/// Guards against a request of another node that is passed on late and is cut at the end.
#[tokio::test(flavor = "multi_thread")]
async fn late_peer_request() {
    let world = started(&["plain", "keyed"]).await;
    world.hosts[0].server.set_service_time(ENDLESS);
    let long_request = world.request_with_long_timeout(0, "long", "/plain/1");
    let late = async {
        wait_for_runs(&world, &["long"]).await;
        world.terminate_node(0);
        tokio::time::sleep(Duration::from_millis(2_450)).await;
        let job = "POST /once/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: late\r\nContent-Length: 0\r\nqr-job: plain keyed route-once 1 1 400 15000\r\n\r\n";
        world
            .send_to_peer_port(0, job, Duration::from_secs(1))
            .await
    };
    let (_, late) = tokio::join!(long_request, late);
    assert!(late.contains("node_away"), "{late:?}");
    assert!(world.truth.runs("late").is_empty());
}

/// Sends pipelined requests with these service times, then SIGTERM once all run; returns the answers.
async fn pipelined(service_times: &[Duration]) -> String {
    let world = started(&["plain", "plain", "keyed"]).await;
    let ids: Vec<String> = (0..service_times.len())
        .map(|number| format!("piped-{number}"))
        .collect();
    let steps = ids.iter().zip(service_times).map(|(id, service_time)| {
        let set = || {
            for host in &world.hosts {
                host.server.set_service_time(*service_time);
            }
        };
        (get(id, 15_000), set)
    });
    let mut connection = world.open_connection(0).await;
    for ((request, set), id) in steps.zip(&ids) {
        set();
        connection.send(&request).await;
        wait_for_runs(&world, &[id]).await;
    }
    world.terminate_node(0);
    connection.read_to_end(EXITED).await
}

/// Guards against pipelined requests that are passed on and get no answer: the response before them closes
/// the connection.
#[tokio::test(flavor = "multi_thread")]
async fn pipeline() {
    let answers = pipelined(&[Duration::from_millis(1_500); 3]).await;
    assert_eq!(answers.matches("done by").count(), 3, "{answers}");
    assert_eq!(
        answers.to_lowercase().matches("connection: close").count(),
        1,
        "{answers}"
    );
}

/// Guards against the same when the first response comes after idle connections are closed.
#[tokio::test(flavor = "multi_thread")]
async fn pipeline_late() {
    let answers = pipelined(&[Duration::from_millis(3_400); 3]).await;
    assert_eq!(answers.matches("done by").count(), 3, "{answers}");
}

/// Guards against the same when the first request is still running at the end.
#[tokio::test(flavor = "multi_thread")]
async fn pipeline_unfinished() {
    let short = Duration::from_millis(100);
    let answers = pipelined(&[ENDLESS, short, short]).await;
    assert!(first_line(&answers).contains(" 502 "), "{answers}");
    assert_eq!(answers.matches("done by").count(), 2, "{answers}");
}

/// Guards against connections that are cut off because the time of their process is over: a client that
/// connects until then, and sends its request a moment later, gets a response or is refused.
#[tokio::test(flavor = "multi_thread")]
async fn connections_until_end() {
    let world = started(&["plain", "plain", "keyed"]).await;
    for host in &world.hosts {
        host.server.set_service_time(ENDLESS);
    }
    let long_request = get("long", 20_000);
    let mut long_connection = world.open_connection(0).await;
    long_connection.send(&long_request).await;
    wait_for_runs(&world, &["long"]).await;
    for host in &world.hosts {
        host.server.set_service_time(Duration::from_millis(30));
    }
    world.terminate_node(0);
    let clients = (0..12).map(|number| {
        let world = &world;
        async move {
            tokio::time::sleep(Duration::from_millis(5) * number).await;
            loop {
                let outcome = world.request_after_pause(0, "/plain/1", CLIENT_PAUSE).await;
                if outcome != ConnectionOutcome::Answered {
                    return outcome;
                }
            }
        }
    });
    let last_outcomes = futures::future::join_all(clients).await;
    assert_eq!(last_outcomes, vec![ConnectionOutcome::Refused; 12]);
    let long = long_connection.read_to_end(EXITED).await;
    assert!(first_line(&long).contains(" 502 "), "{long}");
}
