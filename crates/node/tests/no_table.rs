//! Requests at a node that has no routing table yet.
#![allow(clippy::unwrap_used)]

mod traffic_support;

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::cluster::RoutingTable;
use reqwest::StatusCode;
use traffic_support::TestCluster;

/// How long the node is without a table.
const NO_TABLE_TIME: Duration = Duration::from_millis(300);

/// Guards against refusing requests at a node that has not yet received a routing table from a
/// controller: it knows no server although there are some.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_table() {
    let cluster = TestCluster::start("orders", 2, Duration::from_millis(1)).await;
    let routing = &cluster.nodes[1].view.routing;
    let table = routing.load_full();
    routing.store(Arc::new(RoutingTable::default()));
    let publish_table = async {
        tokio::time::sleep(NO_TABLE_TIME).await;
        routing.store(table);
    };
    let (response, ()) = tokio::join!(cluster.get(1, "/orders/early"), publish_table);
    assert_eq!(response.status(), StatusCode::OK);
}

/// Guards against holding requests although the routing table has no server for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_server() {
    let cluster = TestCluster::start("orders", 2, Duration::from_millis(1)).await;
    let routing = &cluster.nodes[1].view.routing;
    let mut table = RoutingTable::clone(&routing.load());
    table.nodes.clear();
    routing.store(Arc::new(table));
    let asked = tokio::time::Instant::now();
    let response = cluster.get(1, "/orders/nowhere").await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(asked.elapsed() < NO_TABLE_TIME, "{:?}", asked.elapsed());
}
