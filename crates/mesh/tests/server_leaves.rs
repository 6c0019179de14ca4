//! A server that leaves before its node has heard it.
#![allow(clippy::unwrap_used, clippy::panic)]

mod lone_node;

use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::ServerEvent;

use lone_node::at;
use lone_node::heartbeat;
use lone_node::node;

fn leaves() -> Event {
    Event::Server(ServerEvent::Leaving("server-1".parse().unwrap()))
}

/// Guards against new work for a server that has left, when its last heartbeat comes seconds late to a
/// process that had not heard it before.
#[test]
fn late_heartbeat() {
    let mut node = node(Granting::ByHeartbeat);
    node.step(at(100), leaves());
    node.step(at(2_300), heartbeat(38));
    assert!(node.server().is_none());
    node.step(at(9_000), heartbeat(39));
    assert!(node.server().is_none());
}

/// Guards against a server that is never used again since one of its name had left.
#[test]
fn next_life() {
    let mut node = node(Granting::ByHeartbeat);
    node.step(at(100), leaves());
    node.step(at(10_200), heartbeat(3));
    assert!(node.server().is_some());
}
