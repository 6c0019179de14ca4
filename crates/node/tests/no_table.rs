//! Requests at a node that has no routing table yet.
#![allow(clippy::unwrap_used)]

mod traffic_support;

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::cluster::RoutingTable;
use reqwest::StatusCode;
use traffic_support::Rack;

/// How long the node is without a table.
const UNKNOWN: Duration = Duration::from_millis(300);

/// Guards against refusals of requests that come to a node before it has heard a controller: it knows no
/// server, and there are some.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn table_comes() {
    let rack = Rack::start("orders", 2, Duration::from_millis(1)).await;
    let routing = &rack.nodes[1].view.routing;
    let table = routing.load_full();
    routing.store(Arc::new(RoutingTable::default()));
    let told = async {
        tokio::time::sleep(UNKNOWN).await;
        routing.store(table);
    };
    let (answer, ()) = tokio::join!(rack.get(1, "/orders/early"), told);
    assert_eq!(answer.status(), StatusCode::OK);
}

/// Guards against requests that are held although the table says that no server takes them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_server() {
    let rack = Rack::start("orders", 2, Duration::from_millis(1)).await;
    let routing = &rack.nodes[1].view.routing;
    let mut table = RoutingTable::clone(&routing.load());
    table.nodes.clear();
    routing.store(Arc::new(table));
    let asked = tokio::time::Instant::now();
    let answer = rack.get(1, "/orders/nowhere").await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(asked.elapsed() < UNKNOWN, "{:?}", asked.elapsed());
}
