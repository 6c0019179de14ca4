//! A single node with its backend server, without peers.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::model::ServerHeartbeat;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::LeaseTimes;
use quetzalrack_mesh::ownership::NodeIncarnation;
use quetzalrack_mesh::ownership::NodeMachine;
use quetzalrack_mesh::ownership::NodeProfile;
use quetzalrack_mesh::ownership::ServerEvent;

/// Returns the moment a number of milliseconds after the node's start.
pub fn at(ms: u64) -> Moment {
    Moment((1_000 + ms) * 1_000_000)
}

pub fn incarnation(node: &str) -> NodeIncarnation {
    NodeIncarnation {
        node: node.parse().unwrap(),
        nonce: 1,
    }
}

/// Starts a node with a way of granting in its settings.
pub fn node(granting: Granting) -> NodeMachine {
    let profile = NodeProfile {
        incarnation: incarnation("node-1"),
        zone: "zone".parse().unwrap(),
        control: "127.0.0.1:7620".parse().unwrap(),
        traffic: "127.0.0.1:7621".parse().unwrap(),
        service: "service".parse().unwrap(),
        server: "127.0.0.1:8301".parse().unwrap(),
        heartbeat: Duration::from_millis(870),
        granting,
        narrow_link: false,
        seed: 1,
    };
    NodeMachine::new(at(0), profile, LeaseTimes::default())
}

/// Returns a heartbeat of the node's backend server.
pub fn heartbeat(sequence: u64) -> Event {
    heartbeat_of(1, sequence)
}

/// Returns a heartbeat of the incarnation that started at this time.
pub fn heartbeat_of(started_ms: u64, sequence: u64) -> Event {
    Event::Server(ServerEvent::Heartbeat(ServerHeartbeat {
        incarnation: ServerIncarnation {
            id: "server-1".parse().unwrap(),
            started_ms,
        },
        service: "service".parse().unwrap(),
        address: "127.0.0.1:8301".parse().unwrap(),
        slots: 10,
        draining: false,
        cold: Duration::ZERO,
        sequence,
        holds: Vec::new(),
        released: Vec::new(),
    }))
}
