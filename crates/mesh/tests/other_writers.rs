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
use lone_node::heartbeat_of;
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

/// Guards against a server that loses its keys to an entry with its service and a start time after its own: the
/// entry names another address, or starts in the future.
#[test]
fn made_up_server() {
    const NOW_MS: u64 = 1_796_275_232_000;
    let entry = |started_ms: u64, address: &str| {
        let Event::Server(ServerEvent::Heartbeat(mut entry)) = heartbeat_of(started_ms, 1) else {
            panic!("not a heartbeat");
        };
        entry.incarnation.id = "writer-1".parse().unwrap();
        entry.address = address.parse().unwrap();
        Event::Server(ServerEvent::Heartbeat(entry))
    };
    let entries = [
        entry(NOW_MS, "127.0.0.1:9"),
        entry(NOW_MS, "10.0.0.9:8301"),
        entry(NOW_MS + 60_000, "127.0.0.1:8301"),
        entry(u64::MAX, "127.0.0.1:8301"),
    ];
    let mut node = node(Granting::ByHeartbeat);
    node.step(at(0), Event::HostClock(NOW_MS));
    for (number, entry) in (1..).zip(entries) {
        node.step(at(1_000 * number), heartbeat(number));
        let before = node.server().cloned();
        node.step(at(1_000 * number + 500), entry);
        assert!(before.is_some());
        assert_eq!(node.server().cloned(), before, "entry {number}");
    }
}
