//! How large the steady messages between nodes are; `docs/design/processes.md` builds on these.
#![allow(clippy::unwrap_used)]

use quetzalrack_core::cluster::RoutingVersion;
use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::Incarnation;
use quetzalrack_core::ids::Rank;
use quetzalrack_core::ids::Sequence;
use quetzalrack_core::ids::SlotCount;
use quetzalrack_core::ids::Term;
use quetzalrack_core::ownership::Ballot;
use quetzalrack_core::ownership::PeerMessage;
use quetzalrack_core::ownership::message::Acknowledgement;
use quetzalrack_core::ownership::message::Answer;
use quetzalrack_core::ownership::message::ControllerAnnouncement;
use quetzalrack_core::ownership::message::Heartbeat;
use quetzalrack_core::ownership::message::LoadReport;
use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::KeySettings;
use quetzalrack_wire::datagram::seal_datagram;

/// A day of heartbeats into a life that began at a present calendar time in milliseconds.
const NUMBER: u64 = 216_000;
const LIFE: Incarnation = Incarnation(1_796_254_005_843);

/// Returns the size of a sealed datagram and of the same message as JSON without any signature.
fn sizes(message: &PeerMessage) -> (usize, usize) {
    let key = KeySettings {
        id: "n1".to_owned(),
        secret: "ab".repeat(16),
    };
    let keys = KeyRing::open(&[key]).unwrap();
    let sealed = seal_datagram(message, &keys).unwrap();
    (sealed.len(), serde_json::to_vec(message).unwrap().len())
}

fn ballot() -> Ballot {
    Ballot {
        term: Term(12),
        rank: Rank(0),
    }
}

fn fences(count: u64) -> Vec<Fence> {
    let sequence = |number| ballot().fence(Sequence(1_000 + number));
    (0..count).map(sequence).collect()
}

fn routing() -> RoutingVersion {
    RoutingVersion {
        term: Term(12),
        rank: Rank(0),
        count: 5_000,
    }
}

fn heartbeat(leases: u64, load: bool) -> PeerMessage {
    let report = LoadReport {
        limit: SlotCount(18),
        in_flight: SlotCount(7),
        latency_us: 9_500,
        state: ServerState::Warm,
        rates: vec![40; leases as usize],
        keys: Vec::new(),
    };
    PeerMessage::Heartbeat(Box::new(Heartbeat {
        node: "node-proof-desk-12".parse().unwrap(),
        incarnation: LIFE,
        number: NUMBER,
        ballot: ballot(),
        acked: Some(NUMBER),
        round: NUMBER,
        held: fences(leases),
        released: Vec::new(),
        leases: None,
        profile: None,
        load: load.then_some(report),
        routing: routing(),
    }))
}

#[test]
fn heartbeat_sizes() {
    let messages = [heartbeat(4, false), heartbeat(4, true), heartbeat(16, true)];
    assert_eq!(
        messages.map(|message| sizes(&message)),
        [(99, 403), (110, 490), (170, 970)]
    );
}

#[test]
fn controller_sizes() {
    let answer = PeerMessage::Answer(Box::new(Answer {
        ballot: ballot(),
        incarnation: LIFE,
        number: NUMBER,
        round: NUMBER,
        unrecognised: Vec::new(),
        grants: Vec::new(),
        drains: Vec::new(),
        updates: None,
    }));
    let lead = PeerMessage::ControllerAnnouncement(Box::new(ControllerAnnouncement {
        ballot: ballot(),
        round: NUMBER,
        request_heartbeat: false,
        term: None,
    }));
    let acknowledgement = PeerMessage::Acknowledgement(Acknowledgement {
        node: "node-proof-desk-12".parse().unwrap(),
        incarnation: LIFE,
        ballot: ballot(),
        round: NUMBER,
    });
    let messages = [answer, lead, acknowledgement];
    assert_eq!(
        messages.map(|message| sizes(&message)),
        [(55, 158), (44, 111), (67, 122)]
    );
}
