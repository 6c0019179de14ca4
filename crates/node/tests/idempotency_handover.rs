//! No request runs twice when the idempotency store of a slice moves to another node, with or
//! without a handover.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod traffic_support;

use std::time::Duration;

use quetzalrack_node::shared::Handover;
use quetzalrack_node::shared::TrafficControl;
use traffic_support::TestCluster;
use traffic_support::new_key;

const QUICK: Duration = Duration::from_millis(2);

async fn ready(work: Duration) -> TestCluster {
    let cluster = TestCluster::start("orders", 3, work).await;
    cluster.wait_for_key_age().await;
    cluster
}

fn runs(cluster: &TestCluster) -> usize {
    cluster
        .nodes
        .iter()
        .map(|node| node.server.runs().len())
        .sum()
}

/// The owner is lost before it sends the order. The new owner can't know that, so the old key gets
/// "outcome unknown", while a key made after the grant runs.
#[tokio::test]
async fn owner_lost_before_run() {
    let cluster = ready(QUICK).await;
    let key = new_key();
    cluster.grant_slices(0, 2, 0);
    cluster.grant_slices(1, 3, 60_000);
    cluster.publish_owner(2, Some(1));
    let old = cluster.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(old.status(), 409);
    assert!(old.text().await.unwrap().contains("outcome_unknown"));
    cluster.wait_for_key_age().await;
    let new = cluster
        .order(2, "/orders/7", &new_key(), "two banners")
        .await;
    assert_eq!(new.status(), 200);
    assert_eq!(runs(&cluster), 1);
}

/// The owner is lost after it sent the order and the order ran. The new owner must not run it
/// again.
#[tokio::test]
async fn owner_lost_after_run() {
    let cluster = ready(QUICK).await;
    let key = new_key();
    assert_eq!(
        cluster
            .order(2, "/orders/7", &key, "two banners")
            .await
            .status(),
        200
    );
    cluster.grant_slices(0, 2, 0);
    cluster.grant_slices(1, 3, 60_000);
    cluster.publish_owner(2, Some(1));
    let again = cluster.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 409);
    assert!(again.text().await.unwrap().contains("outcome_unknown"));
    assert_eq!(runs(&cluster), 1);
}

/// A graceful move hands the idempotency state over: the new owner returns the response that the
/// old one kept.
#[tokio::test]
async fn state_handed_over() {
    let cluster = ready(QUICK).await;
    let key = new_key();
    let first = cluster.order(2, "/orders/7", &key, "two banners").await;
    let first = first.text().await.unwrap();
    let new = &cluster.nodes[1].traffic;
    cluster.grant_slices(1, 2, 60_000);
    for index in 0..4 {
        let slice = cluster.slice(index);
        let link = cluster.hand_over(0, &slice, 1).await;
        new.receive_handover(link);
        new.prepare_slice(&slice, cluster.fence(2), Some(cluster.fence(1)));
    }
    cluster.nodes[0]
        .view
        .leases
        .store(std::sync::Arc::default());
    cluster.publish_owner(2, Some(1));
    let again = cluster.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 200);
    assert_eq!(again.text().await.unwrap(), first);
    assert_eq!(runs(&cluster), 1);
}

/// A handover that belongs to another grant is not adopted.
#[tokio::test]
async fn foreign_handover() {
    let cluster = ready(QUICK).await;
    let key = new_key();
    cluster.order(2, "/orders/7", &key, "two banners").await;
    let new = &cluster.nodes[1].traffic;
    cluster.grant_slices(1, 9, 60_000);
    for index in 0..4 {
        let slice = cluster.slice(index);
        let handover: Handover = cluster.hand_over(0, &slice, 1).await;
        new.receive_handover(handover);
        new.prepare_slice(&slice, cluster.fence(9), Some(cluster.fence(7)));
    }
    cluster.nodes[0]
        .view
        .leases
        .store(std::sync::Arc::default());
    cluster.publish_owner(2, Some(1));
    let again = cluster.order(2, "/orders/7", &key, "two banners").await;
    assert_eq!(again.status(), 409);
    assert_eq!(runs(&cluster), 1);
}
