//! More connections than a process may have descriptors.

use crate::crowd::Crowd;
use crate::crowd::ENTRY;
use crate::crowd::SERVER;
use crate::crowd::Script;
use crate::crowd::Site;
use crate::crowd::few_descriptors;

/// Three times the sockets that a process may have.
const CONNECTIONS: usize = 600;

/// Checks beside connections on which clients have written this, also that the configuration is still read.
async fn check_connections(host: usize, written: &str) {
    let mut site = Site::start(few_descriptors()).await;
    let scripts = (0..CONNECTIONS).map(|_| Script {
        start: written.to_owned().into(),
        ..Script::default()
    });
    let crowd = Crowd::open(site.clients(host), scripts);
    crowd.settle().await;
    site.add_route();
    site.check_crowd(crowd).await;
}

/// Guards against connections without a request that take the descriptors of the process's own calls.
#[tokio::test(flavor = "multi_thread")]
async fn idle_entry() {
    check_connections(ENTRY, "").await;
}

/// Guards against connections without a request that take the descriptors of the server's heartbeats.
#[tokio::test(flavor = "multi_thread")]
async fn idle_server() {
    check_connections(SERVER, "").await;
}

/// Guards against heads that stop short and take the descriptors of the process's own calls.
#[tokio::test(flavor = "multi_thread")]
async fn heads_entry() {
    check_connections(ENTRY, "GET /plain/1 HTTP/1.1\r\nHost: shop").await;
}

/// Guards against heads that stop short and take the descriptors of the server's heartbeats.
#[tokio::test(flavor = "multi_thread")]
async fn heads_server() {
    check_connections(SERVER, "GET /plain/1 HTTP/1.1\r\nHost: shop").await;
}
