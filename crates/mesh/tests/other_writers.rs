//! Heartbeats of writers that are not the host's backend server.
#![allow(clippy::unwrap_used, clippy::panic)]

mod lone_node;

use std::sync::Arc;

use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::model::RoutingConfig;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::ServerEvent;

use lone_node::at;
use lone_node::heartbeat;
use lone_node::node;

fn foreign_heartbeat() -> Event {
    let Event::Server(ServerEvent::Heartbeat(mut heartbeat)) = heartbeat(1) else {
        panic!("not a heartbeat");
    };
    heartbeat.incarnation.id = "writer-1".parse().unwrap();
    heartbeat.incarnation.started_ms = 9_000;
    heartbeat.service = "unnamed".parse().unwrap();
    Event::Server(ServerEvent::Heartbeat(heartbeat))
}

/// Guards against keys that get a second holder: a heartbeat that names no known service replaces what the
/// node knows of its server, which goes on holding its keys.
#[test]
fn unnamed_service() {
    for knows_document in [false, true] {
        let mut node = node(Granting::ByHeartbeat);
        if knows_document {
            let document = OperatorsIntent {
                offset: 1,
                config: Some(Arc::new(RoutingConfig::default())),
                ..OperatorsIntent::default()
            };
            node.step(at(50), Event::Intent(document));
        }
        for sequence in 1..4 {
            node.step(at(100 * sequence), heartbeat(sequence));
        }
        let before = node.server().cloned();
        node.step(at(400), foreign_heartbeat());
        assert!(before.is_some());
        assert_eq!(node.server().cloned(), before, "document: {knows_document}");
    }
}
