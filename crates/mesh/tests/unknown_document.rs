//! A node that does not know the operators' document.
#![allow(clippy::unwrap_used, clippy::panic)]

mod lone_node;

use std::sync::Arc;

use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::model::RoutingConfig;
use quetzalrack_mesh::ownership::Action;
use quetzalrack_mesh::ownership::Epoch;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::LeaderRecord;
use quetzalrack_mesh::ownership::NodeHeartbeat;
use quetzalrack_mesh::ownership::PeerMessage;

use lone_node::at;
use lone_node::heartbeat;
use lone_node::life;
use lone_node::node;

fn leader() -> Event {
    let record = LeaderRecord {
        epoch: Epoch(256),
        leader: life("node-2"),
        control: "127.0.0.2:7620".parse().unwrap(),
        voters: Vec::new(),
        takeover_complete: true,
        store_suffices: true,
    };
    let from = record.control;
    Event::Message(from, PeerMessage::LeaderAnnouncement(Box::new(record)))
}

fn document() -> Event {
    Event::Intent(OperatorsIntent {
        offset: 1,
        config: Some(Arc::new(RoutingConfig::default())),
        ..OperatorsIntent::default()
    })
}

/// Returns the newest beat of a node whose server was heard often enough by heartbeat, a second after the
/// node's start.
fn beat(granting: Granting, known: bool) -> NodeHeartbeat {
    let mut node = node(granting);
    let mut events = vec![(0, leader())];
    if known {
        events.push((10, document()));
    }
    events.extend((1..=3).map(|place| (place * 300, heartbeat(place))));
    events.push((1_000, Event::Tick));
    let mut newest = None;
    for (ms, event) in events {
        for action in node.step(at(ms), event) {
            if let Action::Send(_, PeerMessage::Heartbeat(beat)) = action {
                newest = Some(*beat);
            }
        }
    }
    newest.unwrap()
}

/// Guards against a second owner: a node that takes its host's way of granting for its service's would say
/// that its server holds nothing, while calls of its earlier process are still obeyed.
#[test]
fn way_of_granting() {
    assert!(beat(Granting::ByHeartbeat, true).holding_complete);
    assert!(!beat(Granting::ByHeartbeat, false).holding_complete);
    assert!(!beat(Granting::ByCall, false).holding_complete);
}
