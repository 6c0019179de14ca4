//! A node that does not know the operators' document.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::model::RoutingConfig;
use quetzalrack_mesh::model::ServerHeartbeat;
use quetzalrack_mesh::model::ServerId;
use quetzalrack_mesh::model::ServerLife;
use quetzalrack_mesh::ownership::Action;
use quetzalrack_mesh::ownership::Beat;
use quetzalrack_mesh::ownership::Epoch;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::LeaderRecord;
use quetzalrack_mesh::ownership::LeaseTimes;
use quetzalrack_mesh::ownership::NodeLife;
use quetzalrack_mesh::ownership::NodeMachine;
use quetzalrack_mesh::ownership::NodeProfile;
use quetzalrack_mesh::ownership::PeerMessage;
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

fn node(granting: Granting) -> NodeMachine {
    let profile = NodeProfile {
        life: life("node-1"),
        zone: "zone".parse().unwrap(),
        control: "127.0.0.1:7620".parse().unwrap(),
        traffic: "127.0.0.1:7621".parse().unwrap(),
        service: "service".parse().unwrap(),
        heartbeat: Duration::from_millis(870),
        granting,
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

fn leader() -> Event {
    let record = LeaderRecord {
        epoch: Epoch(256),
        leader: life("node-2"),
        control: "127.0.0.2:7620".parse().unwrap(),
        voters: Vec::new(),
        complete: true,
        alone: true,
    };
    let from = record.control;
    Event::Message(from, PeerMessage::Lead(Box::new(record)))
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
fn beat(granting: Granting, known: bool) -> Beat {
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
            if let Action::Send(_, PeerMessage::Beat(beat)) = action {
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
    assert!(beat(Granting::ByHeartbeat, true).known);
    assert!(!beat(Granting::ByHeartbeat, false).known);
    assert!(!beat(Granting::ByCall, false).known);
}
