//! A server that leaves before its node has heard it.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::model::ServerHeartbeat;
use quetzalrack_mesh::model::ServerId;
use quetzalrack_mesh::model::ServerLife;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::LeaseTimes;
use quetzalrack_mesh::ownership::NodeLife;
use quetzalrack_mesh::ownership::NodeMachine;
use quetzalrack_mesh::ownership::NodeProfile;
use quetzalrack_mesh::ownership::ServerEvent;

fn at(ms: u64) -> Moment {
    Moment((1_000 + ms) * 1_000_000)
}

fn life(node: &str) -> NodeLife {
    NodeLife {
        node: node.parse().unwrap(),
        life: 1,
    }
}

fn node() -> NodeMachine {
    let profile = NodeProfile {
        life: life("node-1"),
        zone: "zone".parse().unwrap(),
        control: "127.0.0.1:7620".parse().unwrap(),
        traffic: "127.0.0.1:7621".parse().unwrap(),
        service: "service".parse().unwrap(),
        heartbeat: Duration::from_millis(870),
        granting: Granting::ByHeartbeat,
        narrow: false,
        seed: 1,
    };
    NodeMachine::new(at(0), profile, LeaseTimes::default())
}

fn heartbeat(sequence: u64) -> Event {
    Event::Server(ServerEvent::Heartbeat(ServerHeartbeat {
        life: ServerLife {
            id: "server-1".parse::<ServerId>().unwrap(),
            born: 1,
        },
        service: "service".parse().unwrap(),
        address: "127.0.0.1:8301".parse().unwrap(),
        slots: 10,
        draining: false,
        cold: Duration::ZERO,
        sequence,
        holds: Vec::new(),
        freed: Vec::new(),
    }))
}

fn leaves() -> Event {
    Event::Server(ServerEvent::Leaves("server-1".parse().unwrap()))
}

/// Guards against new work for a server that has left, when its last heartbeat comes seconds late to a
/// process that had not heard it before.
#[test]
fn late_heartbeat() {
    let mut node = node();
    node.step(at(100), leaves());
    node.step(at(2_300), heartbeat(38));
    assert!(node.server().is_none());
    node.step(at(9_000), heartbeat(39));
    assert!(node.server().is_none());
}

/// Guards against a server that is never used again since one of its name had left.
#[test]
fn next_life() {
    let mut node = node();
    node.step(at(100), leaves());
    node.step(at(10_200), heartbeat(3));
    assert!(node.server().is_some());
}
