//! Intent reaches a node while the log service is down.
#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_node::RunningNode;
use quetzalrack_testutils::poll::poll_until;
use support::MemoryLog;
use support::publish_andina;
use support::settings;
use support::spawn_node;
use support::status_of;
use support::zone_out;

const TIMEOUT: Duration = Duration::from_secs(10);

async fn wait_for_intent(node: &RunningNode) {
    let in_force = poll_until(TIMEOUT, || async {
        let intent = node.view().intent.load();
        intent
            .as_ref()
            .filter(|intent| intent.version.0 == 1)
            .map(|_| ())
    });
    assert_eq!(in_force.await, Some(()));
}

#[tokio::test(flavor = "multi_thread")]
async fn log_up() {
    let log = Arc::new(MemoryLog::default());
    publish_andina(&log);
    let node = spawn_node(settings("node-1", "suba", &[]), &log);
    wait_for_intent(&node).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn log_down() {
    // A host is replaced while the log service is down. Its new node has no intent and would
    // refuse every caller until the log is back, so it asks its seeds and adopts their version.
    let log = Arc::new(MemoryLog::default());
    publish_andina(&log);
    let old = spawn_node(settings("node-1", "suba", &[]), &log);
    wait_for_intent(&old).await;
    log.set_down(true);
    let seeds = [old.member().control];
    let late = spawn_node(settings("node-2", "suba", &seeds), &log);
    wait_for_intent(&late).await;
    let (old, late) = (
        old.view().intent.load_full(),
        late.view().intent.load_full(),
    );
    assert_eq!(old, late);
}

#[tokio::test(flavor = "multi_thread")]
async fn log_back() {
    // The log service goes down before the document is promoted and comes back later. A node that
    // stopped reading, or whose backoff had no upper bound, would never receive the document.
    let log = Arc::new(MemoryLog::default());
    log.set_down(true);
    let node = spawn_node(settings("node-1", "suba", &[]), &log);
    publish_andina(&log);
    assert!(node.view().intent.load().is_none());
    log.set_down(false);
    wait_for_intent(&node).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn notified_by_controller() {
    // An operator takes a zone out. Most nodes of a larger cluster do not read the log; a node that
    // isn't notified would continue to send new requests into the zone.
    let log = Arc::new(MemoryLog::default());
    publish_andina(&log);
    let nodes: Vec<_> = (0..12)
        .map(|index| spawn_node(settings(&format!("node-{index}"), "suba", &[]), &log))
        .collect();
    let has_controller = poll_until(TIMEOUT, || async {
        let controllers = futures::future::join_all(nodes.iter().map(status_of)).await;
        let has_controller = controllers.iter().all(|status| status.controller.is_some());
        has_controller.then_some(())
    });
    assert_eq!(has_controller.await, Some(()));
    zone_out(&log, "suba", 1);
    let followed = poll_until(TIMEOUT, || async {
        let follows = |node: &RunningNode| {
            let intent = node.view().intent.load();
            intent.as_ref().is_some_and(|intent| intent.version.0 == 2)
        };
        nodes.iter().all(follows).then_some(())
    });
    assert_eq!(followed.await, Some(()));
}
