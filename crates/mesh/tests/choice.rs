//! Which node gets a request that any server of its service may run.
#![allow(clippy::unwrap_used, clippy::panic)]

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::ServerId;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::ownership::DirectoryEntry;
use quetzalrack_mesh::ownership::Member;
use quetzalrack_mesh::ownership::NodeIncarnation;
use quetzalrack_mesh::ownership::NodeLoad;
use quetzalrack_mesh::ownership::ServerInfo;
use quetzalrack_mesh::traffic::balancing::LoadBalancer;

const NOW: Moment = Moment(1_000_000_000);

fn load(busy: u16, link: u16) -> NodeLoad {
    NodeLoad {
        requests: busy,
        limit: 10,
        slowdown_percent: 100,
        request_ms: 100,
        backlog_ms: link,
    }
}

fn directory(loads: &[u16]) -> Directory {
    let mut directory = Directory::default();
    for (place, busy) in loads.iter().enumerate() {
        let name = format!("node-{place}");
        let card = ServerInfo {
            incarnation: ServerIncarnation {
                id: ServerId(format!("server-{place}").as_str().into()),
                started_ms: 1,
            },
            slots: 10,
            draining: false,
            cold: false,
            holding_known: true,
            silent: false,
        };
        let member = Member {
            incarnation: NodeIncarnation {
                node: name.parse().unwrap(),
                nonce: 1,
            },
            zone: format!("zone-{place}").parse().unwrap(),
            control: "127.0.0.1:1".parse().unwrap(),
            traffic: "127.0.0.1:1".parse().unwrap(),
            service: "orders".parse().unwrap(),
            server: Some(card),
            narrow_link: false,
            leaving: false,
        };
        let entry = DirectoryEntry {
            member,
            responsive: true,
            load: load(*busy, 0).into(),
        };
        directory.members.insert(name.parse().unwrap(), entry);
    }
    directory
}

fn share(directory: &Directory, chooser: &mut LoadBalancer, node: &str) -> f64 {
    let service = "orders".parse().unwrap();
    let chosen = (0..1_000).filter(|_| {
        let chosen = chooser.choose(NOW, directory, &service, &route(), &[]);
        chosen.is_some_and(|chosen| chosen.as_str() == node)
    });
    chosen.count() as f64 / 1_000.0
}

fn route() -> RouteName {
    "route".parse().unwrap()
}

fn chooser() -> LoadBalancer {
    LoadBalancer::new("zone-0".parse().unwrap(), 1)
}

/// The own zone's server has room: bytes stay in the zone.
#[test]
fn own_zone() {
    let directory = directory(&[5, 0, 0]);
    assert!(share(&directory, &mut chooser(), "node-0") > 0.99);
}

/// The own zone's server is full and more: the way to another zone costs less than the wait.
#[test]
fn own_zone_full() {
    let directory = directory(&[16, 2, 2]);
    assert!(share(&directory, &mut chooser(), "node-0") < 0.01);
}

/// A server fails most of what it gets at once, and looks empty by that: it must not draw all
/// requests for being empty.
#[test]
fn failing_server() {
    let directory = directory(&[0, 3, 3]);
    let mut chooser = chooser();
    for _ in 0..20 {
        let node = "node-0".parse().unwrap();
        chooser.record_sent(&node);
        chooser.record_ended(NOW, &node, Some(NodeLoad::default()), true);
    }
    assert!(share(&directory, &mut chooser, "node-0") < 0.01);
}

/// A node can't be reached; it is left out for a moment, and asked when there is no other.
#[test]
fn unreachable_node() {
    let two = directory(&[0, 9]);
    let mut chooser = chooser();
    chooser.record_unreachable(NOW, &"node-0".parse().unwrap());
    assert!(share(&two, &mut chooser, "node-0") < 0.01);
    let one = directory(&[0]);
    assert!(share(&one, &mut chooser, "node-0") > 0.99);
}

/// A server that has announced its leaving, or whose node is not heard, gets nothing.
#[test]
fn closed_nodes() {
    let mut directory = directory(&[0, 0, 5]);
    for (name, entry) in &mut directory.members {
        match name.as_str() {
            "node-0" => entry.responsive = false,
            "node-1" => entry.member.server.as_mut().unwrap().draining = true,
            _ => {}
        }
    }
    assert!(share(&directory, &mut chooser(), "node-2") > 0.99);
}

/// Answers of 90 KB fill the link of the own zone's host, though its server has slots to spare.
/// While a request would wait there for less than its bytes are worth on two more links, it stays in
/// its zone: nodes that follow a table half a second old would all fill the same free link. Beyond
/// that it goes where the link is free. Requests with small answers stay in any case.
#[test]
fn full_link() {
    for (waits_ms, stays) in [(0, true), (1_250, true), (1_450, false), (3_000, false)] {
        let mut directory = directory(&[0, 0, 0]);
        let node = "node-0".parse::<quetzalrack_core::ids::NodeName>().unwrap();
        directory.members.get_mut(&node).unwrap().load = load(0, waits_ms).into();
        let mut chooser = chooser();
        assert!(share(&directory, &mut chooser, "node-0") > 0.99);
        chooser.record_response_size(&route(), 90_000);
        let share = share(&directory, &mut chooser, "node-0");
        let expected = if stays { share > 0.99 } else { share < 0.01 };
        assert!(expected, "{waits_ms} ms at the link: {share}");
    }
}
