//! A backend server that leaves, and the incarnations under its id.
#![allow(clippy::unwrap_used, clippy::panic)]

mod lone_node;

use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::ServerEvent;

use lone_node::at;
use lone_node::heartbeat;
use lone_node::node;

fn leaving() -> Event {
    leaving_of(None)
}

fn leaving_of(started_ms: Option<u64>) -> Event {
    Event::Server(ServerEvent::Leaving {
        id: "server-1".parse().unwrap(),
        started_ms,
    })
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

/// Guards against a server that gets no work for seconds because the incarnation before it has left.
#[test]
fn next_at_once() {
    let mut node = node(Granting::ByHeartbeat);
    node.step(at(100), leaving_of(Some(0)));
    node.step(at(200), heartbeat(1));
    assert!(node.server().is_some());
}

/// Guards against a running server that gets no more work because the call with which the incarnation before
/// it left arrives late.
#[test]
fn late_call() {
    let mut node = node(Granting::ByHeartbeat);
    node.step(at(100), heartbeat(1));
    node.step(at(200), leaving_of(Some(0)));
    assert!(node.server().is_some());
    node.step(at(300), leaving_of(Some(1)));
    assert!(node.server().is_none());
}
