//! Requests that were lost together with the node they were sent to.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::ServerId;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::ownership::DirectoryEntry;
use quetzalrack_mesh::ownership::LoadSummary;
use quetzalrack_mesh::ownership::Member;
use quetzalrack_mesh::ownership::NodeIncarnation;
use quetzalrack_mesh::ownership::ServerInfo;
use quetzalrack_mesh::traffic::suspects::LostHop;
use quetzalrack_mesh::traffic::suspects::LostHops;

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000_000)
}

fn name() -> NodeName {
    "node-1".parse().unwrap()
}

fn server(started_ms: u64) -> ServerIncarnation {
    let id = ServerId("server".into());
    ServerIncarnation { id, started_ms }
}

/// A directory with one node, whose process and server are told apart by these numbers.
fn directory(nonce: u64, started_ms: u64, responsive: bool) -> Directory {
    let address = "127.0.0.1:1".parse().unwrap();
    let member = Member {
        incarnation: NodeIncarnation {
            node: name(),
            nonce,
        },
        zone: "zone".parse().unwrap(),
        control: address,
        traffic: address,
        service: "service".parse().unwrap(),
        server: Some(ServerInfo {
            incarnation: server(started_ms),
            slots: 4,
            draining: false,
            cold: false,
            holding_known: true,
            silent: false,
        }),
        narrow_link: false,
        leaving: false,
    };
    let entry = DirectoryEntry {
        member,
        responsive,
        load: LoadSummary::default(),
    };
    let mut directory = Directory::default();
    directory.members.insert(name(), entry);
    directory
}

fn lost() -> LostHops {
    let mut lost = LostHops::default();
    lost.record(LostHop {
        node: name(),
        nonce: 1,
        server: server(1),
        sent: at(0),
        at: at(0),
    });
    lost
}

/// Guards against a request that ends our own process at one host after the other, as the server there goes on.
#[test]
fn process_ended() {
    let mut lost = lost();
    assert_eq!(
        lost.resolve(at(10), &directory(1, 1, true), Some(at(10))),
        vec![]
    );
    assert_eq!(
        lost.resolve(at(500), &directory(2, 1, true), Some(at(500))),
        vec![]
    );
    assert_eq!(
        lost.resolve(at(5_000), &directory(2, 1, true), Some(at(5_000))),
        vec![]
    );
}

/// Guards against a server that counts as ended since the way to its node was cut for a while.
#[test]
fn node_responds() {
    let (directory, mut lost) = (directory(1, 1, true), lost());
    assert_eq!(lost.record_contact(at(10), &name(), None), vec![server(1)]);
    let mut lost = self::lost();
    assert_eq!(lost.resolve(at(2_000), &directory, Some(at(2_000))), vec![]);
    assert_eq!(
        lost.resolve(at(3_000), &directory, Some(at(3_000))),
        vec![server(1)]
    );
}

/// Guards against an end that is taken back by the word of the next process of the node, which the directory does
/// not list yet.
#[test]
fn next_process_responds() {
    let age = |ms| Some(Duration::from_millis(ms));
    let mut lost = lost();
    assert_eq!(lost.record_contact(at(500), &name(), age(90)), vec![]);
    assert_eq!(
        lost.resolve(at(5_000), &directory(1, 1, true), Some(at(5_000))),
        vec![]
    );
    let mut lost = self::lost();
    assert_eq!(
        lost.record_contact(at(500), &name(), age(501)),
        vec![server(1)]
    );
}

/// Guards against an end that is taken back by the table of a leader that has ended as well, in which the process of
/// the node before its end is still listed.
#[test]
fn no_leader() {
    let directory = directory(1, 1, true);
    for confirmed in [None, Some(at(0)), Some(at(2_999))] {
        let mut lost = lost();
        assert_eq!(lost.resolve(at(5_000), &directory, confirmed), vec![]);
    }
}

/// Guards against a node that is not back and counts as alive.
#[test]
fn node_gone() {
    let mut lost = lost();
    for ms in [500, 5_000, 30_000] {
        assert_eq!(
            lost.resolve(at(ms), &directory(1, 1, false), Some(at(ms))),
            vec![]
        );
        assert_eq!(
            lost.resolve(at(ms), &Directory::default(), Some(at(ms))),
            vec![]
        );
    }
    let long = at(0) + Duration::from_secs(70);
    assert_eq!(
        lost.resolve(long, &Directory::default(), Some(long)),
        vec![]
    );
    assert_eq!(
        lost.resolve(long, &directory(2, 1, true), Some(long)),
        vec![]
    );
}
