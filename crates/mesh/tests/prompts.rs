//! Heartbeats that a leader requests from its nodes.
#![allow(clippy::unwrap_used, clippy::panic)]

mod lone_node;

use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::ownership::Action;
use quetzalrack_mesh::ownership::Epoch;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::LeaderRecord;
use quetzalrack_mesh::ownership::NodeMachine;
use quetzalrack_mesh::ownership::PeerMessage;

use lone_node::at;
use lone_node::incarnation;
use lone_node::node;

const LEADER: &str = "127.0.0.1:7630";

fn message(message: PeerMessage) -> Event {
    Event::Message(LEADER.parse().unwrap(), message)
}

fn heartbeats(node: &mut NodeMachine, ms: u64, event: Event) -> usize {
    let actions = node.step(at(ms), event);
    let heartbeat = |action: &&Action| matches!(action, Action::Send(_, PeerMessage::Heartbeat(_)));
    actions.iter().filter(heartbeat).count()
}

fn following() -> NodeMachine {
    let mut node = node(Granting::ByCall);
    let record = LeaderRecord {
        epoch: Epoch(256),
        leader: incarnation("node-2"),
        control: LEADER.parse().unwrap(),
        voters: Vec::new(),
        takeover_complete: true,
        store_suffices: true,
        departures: Vec::new(),
    };
    node.step(
        at(0),
        message(PeerMessage::LeaderAnnouncement(Box::new(record))),
    );
    node
}

/// Guards against keys without an owner until the next regular heartbeat of the node whose server gets them.
#[test]
fn requested_heartbeat() {
    let mut node = following();
    let request = || message(PeerMessage::HeartbeatRequest { epoch: Epoch(256) });
    assert_eq!(heartbeats(&mut node, 50, Event::Tick), 0);
    assert_eq!(heartbeats(&mut node, 60, request()), 1);
    // A burst of grants shares the next heartbeat.
    assert_eq!(heartbeats(&mut node, 62, request()), 0);
    assert_eq!(heartbeats(&mut node, 63, request()), 0);
    assert_eq!(heartbeats(&mut node, 70, Event::Tick), 1);
}

/// Guards against heartbeats to a leader that is no longer followed.
#[test]
fn other_epoch() {
    let mut node = following();
    let request = message(PeerMessage::HeartbeatRequest { epoch: Epoch(255) });
    assert_eq!(heartbeats(&mut node, 60, request), 0);
}
