//! The gate moves from node to node, gracefully or not, and still no work runs twice.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::time::Duration;

use quetzalrack_node::shared::Handover;
use quetzalrack_node::shared::TrafficControl;
use traffic_support::Rack;
use traffic_support::new_key;

const QUICK: Duration = Duration::from_millis(2);

async fn ready(work: Duration) -> Rack {
    let rack = Rack::start("orders", 3, work).await;
    rack.gates_ready().await;
    rack
}

fn runs(rack: &Rack) -> usize {
    rack.nodes.iter().map(|node| node.server.runs().len()).sum()
}

/// The gate is lost before it sent the order. The new gate can't know that, so the old key gets
/// "outcome unknown", while a key made after the grant runs.
#[tokio::test]
async fn gate_lost_before() {
    let rack = ready(QUICK).await;
    let key = new_key();
    rack.give_slices(0, 2, 0);
    rack.give_slices(1, 3, 60_000);
    rack.publish_owner(2, Some(1));
    let old = rack.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(old.status(), 409);
    assert!(old.text().await.unwrap().contains("outcome_unknown"));
    rack.gates_ready().await;
    let new = rack.order(2, "/orders/7", &new_key(), "two banners").await;
    assert_eq!(new.status(), 200);
    assert_eq!(runs(&rack), 1);
}

/// The gate is lost after it sent the order, and the order ran. The new gate must not run it again.
#[tokio::test]
async fn gate_lost_after() {
    let rack = ready(QUICK).await;
    let key = new_key();
    assert_eq!(
        rack.order(2, "/orders/7", &key, "two banners")
            .await
            .status(),
        200
    );
    rack.give_slices(0, 2, 0);
    rack.give_slices(1, 3, 60_000);
    rack.publish_owner(2, Some(1));
    let again = rack.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 409);
    assert!(again.text().await.unwrap().contains("outcome_unknown"));
    assert_eq!(runs(&rack), 1);
}

/// A graceful move hands the memory over: the new gate returns the answer that the old one kept.
#[tokio::test]
async fn memory_handed_over() {
    let rack = ready(QUICK).await;
    let key = new_key();
    let first = rack.order(2, "/orders/7", &key, "two banners").await;
    let first = first.text().await.unwrap();
    let new = &rack.nodes[1].traffic;
    rack.give_slices(1, 2, 60_000);
    for index in 0..4 {
        let slice = rack.slice(index);
        let link = rack.hand_over(0, &slice, 1).await;
        new.receive_handover(link);
        new.prepare_slice(&slice, rack.fence(2), Some(rack.fence(1)));
    }
    rack.nodes[0].view.leases.store(std::sync::Arc::default());
    rack.publish_owner(2, Some(1));
    let again = rack.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 200);
    assert_eq!(again.text().await.unwrap(), first);
    assert_eq!(runs(&rack), 1);
}

/// Checks that a handover names the grant it belongs to: one of another grant is not adopted.
#[tokio::test]
async fn foreign_handover() {
    let rack = ready(QUICK).await;
    let key = new_key();
    rack.order(2, "/orders/7", &key, "two banners").await;
    let new = &rack.nodes[1].traffic;
    rack.give_slices(1, 9, 60_000);
    for index in 0..4 {
        let slice = rack.slice(index);
        let handover: Handover = rack.hand_over(0, &slice, 1).await;
        new.receive_handover(handover);
        new.prepare_slice(&slice, rack.fence(9), Some(rack.fence(7)));
    }
    rack.nodes[0].view.leases.store(std::sync::Arc::default());
    rack.publish_owner(2, Some(1));
    let again = rack.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 409);
    assert_eq!(runs(&rack), 1);
}
