//! Nodes in the test's own process.

use std::net::SocketAddr;
use std::sync::Arc;

use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::KeySettings;
use quetzalrack_node::Node;
use quetzalrack_node::RunningNode;
use quetzalrack_node::settings::NodeSettings;
use quetzalrack_node::settings::parse_settings;
use quetzalrack_wire::status::NodeStatus;
use serde_json::json;

use super::GrantingBackend;
use super::MemoryLog;

/// The secret of every key in these tests.
pub const SECRET: &str = "00112233445566778899aabbccddeeff";

/// Returns the key ring shared by nodes and operators.
pub fn keys() -> KeyRing {
    let key = KeySettings {
        id: "k1".to_owned(),
        secret: SECRET.to_owned(),
    };
    KeyRing::open(&[key]).unwrap()
}

/// Returns the settings of a node on loopback.
pub fn settings(node: &str, zone: &str, seeds: &[SocketAddr]) -> NodeSettings {
    let text = json!({
        "environment": "andina",
        "stage": "production",
        "node": node,
        "zone": zone,
        "address": "127.0.0.1",
        "log": "http://127.0.0.1:9",
        "seeds": seeds,
        "node_keys": [{"id": "k1", "secret": SECRET}],
        "operator_keys": [{"id": "k1", "secret": SECRET}],
        "threads": 1,
    });
    parse_settings("test", &text.to_string()).unwrap()
}

/// Starts a node with the real clock and network, and fakes for the log and the backend server.
pub fn spawn_node(settings: NodeSettings, log: &Arc<MemoryLog>) -> RunningNode {
    let mut node = Node::open(settings).unwrap();
    node.boundaries.log = log.clone();
    node.boundaries.backend = Arc::new(GrantingBackend::default());
    node.spawn().unwrap()
}

/// Announces a warm backend server to a node.
pub async fn announce(admin: SocketAddr, service: &str, server: &str) {
    let announcement = json!({
        "service": service,
        "server": server,
        "address": "127.0.0.1:9",
        "incarnation": 1,
        "slots": 18,
        "connections": 130,
        "checks_fence": true,
        "state": "warm",
        "reported_load": 0.0,
    });
    let url = format!("http://{admin}/announcements");
    let sent = reqwest::Client::new().post(url).json(&announcement);
    // A node that has shut down doesn't respond.
    if let Ok(answer) = sent.send().await {
        assert!(answer.status().is_success(), "{}", answer.status());
    }
}

/// Reads a node's status.
pub async fn status_of(node: &RunningNode) -> NodeStatus {
    let url = format!("http://{}/status", node.listening().admin);
    reqwest::get(url).await.unwrap().json().await.unwrap()
}
