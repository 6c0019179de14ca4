//! A backend server that leaves, and the incarnations under its id.
#![allow(clippy::unwrap_used, clippy::panic)]

mod lone_node;

use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::ServerEvent;

use lone_node::at;
use lone_node::heartbeat;
use lone_node::heartbeat_of;
use lone_node::node;

/// The host's time of day when the node starts.
const START_MS: u64 = 1_796_275_232_000;

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
    node.step(at(0), Event::HostClock(START_MS));
    node.step(at(100), leaving());
    node.step(at(2_300), heartbeat(38));
    assert!(node.server().is_none());
    node.step(at(90_000), heartbeat(39));
    assert!(node.server().is_none());
}

/// Guards against a server that is never used because an earlier incarnation of it had left.
#[test]
fn next_incarnation() {
    let mut node = node(Granting::ByHeartbeat);
    node.step(at(0), Event::HostClock(START_MS));
    node.step(at(100), leaving());
    node.step(at(300), heartbeat_of(START_MS + 200, 1));
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

/// Guards against requests to a server that has left: a heartbeat of its earlier incarnation, held up for
/// seconds, is taken for one of the next.
#[test]
fn earlier_incarnation() {
    for late_ms in [300, 5_000, 60_000] {
        let mut node = node(Granting::ByHeartbeat);
        node.step(at(100), heartbeat_of(2, 1));
        node.step(at(200), leaving_of(Some(2)));
        node.step(at(200 + late_ms), heartbeat_of(1, 7));
        assert!(node.server().is_none(), "{late_ms} ms late");
        node.step(at(300 + late_ms), heartbeat_of(3, 1));
        assert!(node.server().is_some(), "the next incarnation gets no work");
    }
}

/// Guards against a server that is never used because the host's clock was set back before it started: its
/// start time is earlier than that of the incarnation before it.
#[test]
fn clock_set_back() {
    for has_left in [false, true] {
        let mut node = node(Granting::ByHeartbeat);
        node.step(at(0), Event::HostClock(START_MS));
        node.step(at(100), heartbeat_of(START_MS, 1));
        if has_left {
            node.step(at(200), leaving_of(Some(START_MS)));
        }
        node.step(at(1_000), Event::HostClock(START_MS - 9_000));
        let before = node.server().map(|server| server.incarnation.clone());
        node.step(at(4_000), heartbeat_of(START_MS - 60_000, 40));
        let after = node.server().map(|server| server.incarnation.clone());
        assert_eq!(after, before, "the step does not explain this start time");
        node.step(at(5_000), heartbeat_of(START_MS - 6_000, 1));
        let started_ms = node.server().map(|server| server.incarnation.started_ms);
        assert_eq!(started_ms, Some(START_MS - 6_000), "{has_left}");
        node.step(at(6_000), leaving_of(Some(START_MS - 6_000)));
        assert!(node.server().is_none(), "it has left too");
    }
}

/// Guards against a server that is never used because its process and the node's have both started after the
/// host's clock was set back: nobody knows of the step, and the server goes on sending heartbeats.
#[test]
fn unknown_set_back() {
    let mut node = node(Granting::ByHeartbeat);
    node.step(at(100), heartbeat_of(START_MS, 1));
    node.step(at(200), leaving_of(Some(START_MS)));
    for sequence in 1..=40 {
        node.step(
            at(1_000 + sequence * 870),
            heartbeat_of(START_MS - 9_000, sequence),
        );
        let is_proven = sequence * 870 > 31_000;
        assert_eq!(node.server().is_some(), is_proven, "heartbeat {sequence}");
    }
}
