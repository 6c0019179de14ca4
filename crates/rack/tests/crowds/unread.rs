//! Responses that nobody reads.

use std::time::Duration;
use std::time::Instant;

use crate::crowd::Crowd;
use crate::crowd::ENTRY;
use crate::crowd::SERVER;
use crate::crowd::Script;
use crate::crowd::Site;
use crate::crowd::little_memory;

/// Size of a response.
const RESPONSE_BYTES: usize = 4_000_000;
/// A crowd whose responses are over three times the memory of the process.
const CLIENTS: usize = 80;
/// How many requests of a pipeline are started early, and one.
const PIPELINED: usize = 9;
/// A crowd of pipelines whose responses are over three times the memory of the process.
const PIPELINES: usize = 10;
/// Time without a further request at the server after which no more is expected.
const STILL_TIME: Duration = Duration::from_secs(3);
/// Time after which the crowd is large enough.
const CROWD_TIME: Duration = Duration::from_secs(60);

/// Sends requests of clients that read nothing, and checks beside them as soon as the server gets no more.
async fn check_unread(clients: usize, requests: usize) {
    let mut site = Site::start(little_memory()).await;
    let server = site.world.hosts[SERVER].server.clone();
    server.set_response_bytes(RESPONSE_BYTES);
    let scripts = (0..clients).map(|client| {
        let requests = (0..requests).map(|request| {
            format!(
                "GET /plain/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: unread-{client}-{request}\r\nX-Deadline-Ms: 120000\r\n\r\n"
            )
        });
        Script {
            start: requests.collect::<String>().into(),
            reads: false,
            ..Script::default()
        }
    });
    let crowd = Crowd::open(site.clients(ENTRY), scripts);
    let started = Instant::now();
    let mut last = (0, Instant::now());
    while started.elapsed() < CROWD_TIME && last.1.elapsed() < STILL_TIME {
        let arrived = server.arrived();
        if arrived != last.0 {
            last = (arrived, Instant::now());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("{} requests at the server", last.0);
    server.set_response_bytes(0);
    site.check_crowd(crowd).await;
}

/// Guards against a process that ends because it keeps responses that many clients don't read.
#[tokio::test(flavor = "multi_thread")]
async fn unread_responses() {
    check_unread(CLIENTS, 1).await;
}

/// Guards against a process that ends because it keeps the early responses of pipelines that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn unread_pipelines() {
    check_unread(PIPELINES, PIPELINED).await;
}
