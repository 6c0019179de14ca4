//! Network traffic of the control protocol.

use crate::support::Cluster;
use crate::support::Layout;

/// Limit of the control traffic that one node sends and receives.
const MAX_BYTES_PER_S: u64 = 25_000;
/// Largest number of nodes in a cluster.
const MAX_CLUSTER_NODES: u64 = 32;
/// Largest payload of a datagram in steady state.
const MAX_DATAGRAM_BYTES: u64 = 1_200;
const SPAN_S: u64 = 20;

/// Returns the bytes per second, sent and received with signatures and headers, of the controller, the
/// busiest deputy and the median of all other nodes.
fn measure(per_zone: usize, services: usize) -> (u64, u64, u64) {
    let mut layout = Layout::new(4, services, 16 * per_zone as u32);
    layout.per_zone = per_zone;
    let mut cluster = Cluster::started(11, layout);
    cluster.run(15_000);
    cluster.measures_bytes = true;
    for _ in 0..SPAN_S * 5 {
        cluster.measure_traffic(100.0);
        cluster.run(200);
    }
    let controllers = cluster.controllers();
    let rate = |node: usize| {
        let node = &cluster.nodes[node];
        (node.sent.bytes + node.received.bytes) / SPAN_S
    };
    let deputy = controllers[1..]
        .iter()
        .map(|node| rate(*node))
        .max()
        .unwrap_or(0);
    let others = (0..cluster.nodes.len()).filter(|node| !controllers.contains(node));
    let mut others: Vec<u64> = others.map(rate).collect();
    others.sort();
    let other = others.get(others.len() / 2).copied().unwrap_or(0);
    let largest = cluster
        .nodes
        .iter()
        .map(|node| node.sent.largest)
        .max()
        .unwrap();
    let controller = rate(controllers[0]);
    println!(
        "{} nodes: controller {controller} B/s, deputy {deputy} B/s, other {other} B/s, largest datagram {largest} B",
        cluster.nodes.len()
    );
    assert!(
        largest <= MAX_DATAGRAM_BYTES,
        "a datagram of {largest} bytes"
    );
    (controller, deputy, other)
}

#[test]
fn bytes_by_cluster_size() {
    // Every role stays below the limit in clusters of up to 32 nodes while every slice has a
    // changing load. A cluster of 64 nodes, which shows the slope, exceeds it, so clusters are
    // smaller.
    let sizes = [(1, 1, 4u64), (1, 4, 16), (2, 4, 32), (4, 4, 64)];
    let costs = sizes.map(|(per_zone, services, nodes)| (nodes, measure(per_zone, services)));
    let slope = (costs[3].1.0 - costs[0].1.0) / (costs[3].0 - costs[0].0);
    println!("controller: {slope} B/s for each further node");
    for (nodes, (controller, deputy, other)) in costs {
        let highest = controller.max(deputy).max(other);
        assert!(
            highest <= MAX_BYTES_PER_S || nodes > MAX_CLUSTER_NODES,
            "{nodes} nodes: {highest} B/s"
        );
    }
}
