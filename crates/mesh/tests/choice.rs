//! Load balancing of requests that any server of a service may run.
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

fn load(requests: u16, backlog_ms: u16) -> NodeLoad {
    NodeLoad {
        requests,
        limit: 10,
        slowdown_percent: 100,
        request_ms: 100,
        backlog_ms,
    }
}

fn directory(loads: &[u16]) -> Directory {
    let mut directory = Directory::default();
    for (index, requests) in loads.iter().enumerate() {
        let name = format!("node-{index}");
        let server = ServerInfo {
            incarnation: ServerIncarnation {
                id: ServerId(format!("server-{index}").as_str().into()),
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
            zone: format!("zone-{index}").parse().unwrap(),
            control: "127.0.0.1:1".parse().unwrap(),
            traffic: "127.0.0.1:1".parse().unwrap(),
            service: "orders".parse().unwrap(),
            server: Some(server),
            narrow_link: false,
            leaving: false,
        };
        let entry = DirectoryEntry {
            member,
            responsive: true,
            load: load(*requests, 0).into(),
        };
        directory.members.insert(name.parse().unwrap(), entry);
    }
    directory
}

fn share(directory: &Directory, balancer: &mut LoadBalancer, node: &str) -> f64 {
    let service = "orders".parse().unwrap();
    let chosen = (0..1_000).filter(|_| {
        let chosen = balancer.choose(NOW, directory, &service, &route(), &[]);
        chosen.is_some_and(|chosen| chosen.as_str() == node)
    });
    chosen.count() as f64 / 1_000.0
}

fn route() -> RouteName {
    "route".parse().unwrap()
}

fn balancer() -> LoadBalancer {
    LoadBalancer::new("zone-0".parse().unwrap(), 1)
}

/// The server in the node's own zone has free slots: requests stay in the zone.
#[test]
fn own_zone() {
    let directory = directory(&[5, 0, 0]);
    assert!(share(&directory, &mut balancer(), "node-0") > 0.99);
}

/// The server in the node's own zone is overloaded: another zone costs less than the wait.
#[test]
fn own_zone_full() {
    let directory = directory(&[16, 2, 2]);
    assert!(share(&directory, &mut balancer(), "node-0") < 0.01);
}

/// Guards against a server that attracts all requests because it fails most of them at once and so looks
/// idle.
#[test]
fn failing_server() {
    let directory = directory(&[0, 3, 3]);
    let mut balancer = balancer();
    for _ in 0..20 {
        let node = "node-0".parse().unwrap();
        balancer.record_sent(&node);
        balancer.record_ended(NOW, &node, Some(NodeLoad::default()), true);
    }
    assert!(share(&directory, &mut balancer, "node-0") < 0.01);
}

/// An unreachable node is avoided for a moment, but still chosen if there is no other.
#[test]
fn unreachable_node() {
    let two = directory(&[0, 9]);
    let mut balancer = balancer();
    balancer.record_unreachable(NOW, &"node-0".parse().unwrap());
    assert!(share(&two, &mut balancer, "node-0") < 0.01);
    let one = directory(&[0]);
    assert!(share(&one, &mut balancer, "node-0") > 0.99);
}

/// A draining server, or one whose node is not responsive, receives no requests.
#[test]
fn unavailable_nodes() {
    let mut directory = directory(&[0, 0, 5]);
    for (name, entry) in &mut directory.members {
        match name.as_str() {
            "node-0" => entry.responsive = false,
            "node-1" => entry.member.server.as_mut().unwrap().draining = true,
            _ => {}
        }
    }
    assert!(share(&directory, &mut balancer(), "node-2") > 0.99);
}

/// Responses of 90 KB fill the link of the host in the node's own zone, while its server has free slots.
/// A request stays in its zone while its wait there costs less than its bytes on two more links:
/// nodes that use a table half a second old would otherwise all fill the same free link. Beyond that it
/// goes where the link is free. Requests with small responses always stay.
#[test]
fn full_link() {
    for (wait_ms, stays) in [(0, true), (1_250, true), (1_450, false), (3_000, false)] {
        let mut directory = directory(&[0, 0, 0]);
        let node = "node-0".parse::<quetzalrack_core::ids::NodeName>().unwrap();
        directory.members.get_mut(&node).unwrap().load = load(0, wait_ms).into();
        let mut balancer = balancer();
        assert!(share(&directory, &mut balancer, "node-0") > 0.99);
        balancer.record_response_size(&route(), 90_000);
        let share = share(&directory, &mut balancer, "node-0");
        let expected = if stays { share > 0.99 } else { share < 0.01 };
        assert!(expected, "{wait_ms} ms at the link: {share}");
    }
}
