//! A backend server that leaves before its node has received a heartbeat of it.
#![allow(clippy::unwrap_used, clippy::panic)]

mod lone_node;

use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::ServerEvent;

use lone_node::at;
use lone_node::heartbeat;
use lone_node::node;

fn leaving() -> Event {
    Event::Server(ServerEvent::Leaving("server-1".parse().unwrap()))
}

/// Guards against requests to a server that has left, if its last heartbeat arrives seconds late at a process
/// that had received none before.
#[test]
fn late_heartbeat() {
    let mut node = node(Granting::ByHeartbeat);
    node.step(at(100), leaving());
    node.step(at(2_300), heartbeat(38));
    assert!(node.server().is_none());
    node.step(at(9_000), heartbeat(39));
    assert!(node.server().is_none());
}

/// Guards against a server that is never used because an earlier incarnation of it had left.
#[test]
fn next_incarnation() {
    let mut node = node(Granting::ByHeartbeat);
    node.step(at(100), leaving());
    node.step(at(10_200), heartbeat(3));
    assert!(node.server().is_some());
}
