//! The nodes that are told of the ends of servers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::ownership::DirectoryEntry;
use quetzalrack_mesh::ownership::LoadSummary;
use quetzalrack_mesh::ownership::Member;
use quetzalrack_mesh::ownership::NodeIncarnation;
use quetzalrack_mesh::traffic::suspects::KnownNodes;

fn at(ms: u64) -> Moment {
    Moment((1_000_000 + ms) * 1_000_000)
}

fn name(number: u64) -> NodeName {
    format!("node-{number:02}").parse().unwrap()
}

fn address(number: u64) -> SocketAddr {
    format!("127.0.0.{}:7", number + 1).parse().unwrap()
}

fn names(numbers: &[u64]) -> Vec<NodeName> {
    numbers.iter().map(|number| name(*number)).collect()
}

/// The table of a leader that has heard these nodes, each with the number of its process.
fn directory(heard: &[(u64, u64)]) -> Directory {
    let mut directory = Directory::default();
    for (number, nonce) in heard {
        let member = Member {
            incarnation: NodeIncarnation {
                node: name(*number),
                nonce: *nonce,
            },
            zone: "zone".parse().unwrap(),
            control: address(*number),
            traffic: address(*number),
            service: "service".parse().unwrap(),
            server: None,
            narrow_link: false,
            leaving: false,
        };
        let entry = DirectoryEntry {
            member,
            responsive: true,
            load: LoadSummary::default(),
        };
        directory.members.insert(name(*number), entry);
    }
    directory
}

/// Guards against an end that is told only to the nodes which a leader that has just taken over has heard already.
#[test]
fn new_leader() {
    let mut nodes = KnownNodes::new(name(1));
    let voters = BTreeMap::new();
    nodes.record(
        at(0),
        &directory(&[(0, 1), (1, 1), (2, 1), (3, 1)]),
        &voters,
    );
    assert_eq!(nodes.others(), names(&[2, 3, 0]));
    assert_eq!(
        nodes.record(at(10), &directory(&[(1, 1), (2, 1)]), &voters),
        []
    );
    assert_eq!(nodes.others(), names(&[2, 3, 0]));
    assert_eq!(nodes.address_of(&name(3)), Some(address(3)));
    // One that does not come back is forgotten.
    nodes.record(at(60_000), &directory(&[(1, 1), (2, 1)]), &voters);
    assert_eq!(nodes.others(), names(&[2]));
}

/// Guards against a process that can neither ask nor tell anybody, as it has started and no leader has listed the
/// others yet.
#[test]
fn voters() {
    let mut nodes = KnownNodes::new(name(1));
    let numbers = [0, 1, 2];
    let voters = numbers.map(|number| (name(number), address(number)));
    let voters = BTreeMap::from(voters);
    nodes.record(at(0), &Directory::default(), &voters);
    assert_eq!(nodes.others(), names(&[2, 0]));
    assert_eq!(nodes.address_of(&name(2)), Some(address(2)));
    // They are not remembered for ever because they were voters once.
    nodes.record(at(60_000), &directory(&[(1, 1), (2, 1)]), &voters);
    nodes.record(at(60_010), &directory(&[(1, 1), (2, 1)]), &voters);
    assert_eq!(nodes.others(), names(&[2]));
}

/// Guards against a process that starts, asks a node that has not heard of an end, and is not told by one that has.
#[test]
fn process_appears() {
    let mut nodes = KnownNodes::new(name(1));
    let none = BTreeMap::new();
    let all = directory(&[(0, 1), (1, 1), (2, 1)]);
    assert_eq!(nodes.record(at(0), &all, &none), names(&[0, 2]));
    assert_eq!(nodes.record(at(1), &all, &none), []);
    let restarted = directory(&[(0, 1), (1, 1), (2, 2)]);
    assert_eq!(nodes.record(at(2), &restarted, &none), names(&[2]));
    // In a large fleet they have to ask.
    let many: Vec<(u64, u64)> = (0..40).map(|number| (number, 1)).collect();
    assert_eq!(nodes.record(at(3), &directory(&many), &none), []);
}
