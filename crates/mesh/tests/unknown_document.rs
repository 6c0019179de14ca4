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
use lone_node::incarnation;
use lone_node::node;

fn leader() -> Event {
    let record = LeaderRecord {
        epoch: Epoch(256),
        leader: incarnation("node-2"),
        control: "127.0.0.2:7620".parse().unwrap(),
        voters: Vec::new(),
        takeover_complete: true,
        store_suffices: true,
        departures: Vec::new(),
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

/// Returns the newest heartbeat of a node a second after its start, with enough heartbeats received from its
/// server for a grant by heartbeat.
fn newest_heartbeat(granting: Granting, known: bool) -> NodeHeartbeat {
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
            if let Action::Send(_, PeerMessage::Heartbeat(message)) = action {
                newest = Some(*message);
            }
        }
    }
    newest.unwrap()
}

/// Guards against a second owner. If a node used its host's way of granting instead of its service's, it
/// would report that its server holds nothing, while calls of its earlier process may still be executed.
#[test]
fn unknown_granting() {
    assert!(newest_heartbeat(Granting::ByHeartbeat, true).holding_complete);
    assert!(!newest_heartbeat(Granting::ByHeartbeat, false).holding_complete);
    assert!(!newest_heartbeat(Granting::ByCall, false).holding_complete);
}

/// Guards against nodes of two versions that don't understand each other while one replaces the other: the
/// earlier one's heartbeats end before the departures, or have an index behind them.
#[test]
fn earlier_version() {
    let heartbeat = newest_heartbeat(Granting::ByHeartbeat, true);
    let message = PeerMessage::Heartbeat(Box::new(heartbeat));
    let bytes = message.encode().unwrap();
    let earlier = &bytes[..bytes.len() - 1];
    assert_eq!(PeerMessage::decode(earlier).unwrap(), message);
    let last = [&bytes[..], &[7]].concat();
    assert_eq!(PeerMessage::decode(&last).unwrap(), message);
    assert_eq!(PeerMessage::decode(&bytes).unwrap(), message);
    assert!(PeerMessage::decode(&bytes[..bytes.len() / 2]).is_err());
}

/// Guards against a fleet without a leader after an update: the record in the store is one of an earlier version,
/// which ends before the departures.
#[test]
fn earlier_record() {
    let Event::Message(_, PeerMessage::LeaderAnnouncement(record)) = leader() else {
        panic!("not a record");
    };
    let bytes = record.encode().unwrap();
    let earlier = &bytes[..bytes.len() - 1];
    assert_eq!(LeaderRecord::decode(earlier).unwrap(), *record);
    assert_eq!(LeaderRecord::decode(&bytes).unwrap(), *record);
    assert!(LeaderRecord::decode(&bytes[..bytes.len() / 2]).is_err());
}
