//! Selection of a request's route and service.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use quetzalrack_mesh::model::RequestKind;
use quetzalrack_mesh::model::Route;
use quetzalrack_mesh::model::RoutingConfig;
use quetzalrack_mesh::model::WeightedService;
use quetzalrack_mesh::routing::RouteTable;
use quetzalrack_mesh::routing::WeightedRoundRobin;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.parse().unwrap(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        services: vec![weighted("one", 1)],
        kind: RequestKind::Idempotent,
        timeout: None,
        objective: Duration::from_secs(1),
        attempts: 1,
        rank: 0,
    }
}

fn weighted(service: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: service.parse().unwrap(),
        weight,
    }
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.to_string())
}

/// The longest matching prefix of the request's host is selected, regardless of the port and the host's case.
#[test]
fn longest_prefix() {
    let config = RoutingConfig {
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
        ],
        ..RoutingConfig::default()
    };
    let table = RouteTable::new(&config);
    assert_eq!(
        found(&table, "a.example", "/x/y/z/1").as_deref(),
        Some("long")
    );
    assert_eq!(
        found(&table, "A.example:8080", "/x/z").as_deref(),
        Some("short")
    );
    assert_eq!(found(&table, "a.example", "/x"), None);
    assert_eq!(found(&table, "c.example", "/x/"), None);
}

/// Three hundred requests are distributed exactly by weight.
#[test]
fn weights() {
    let services = [weighted("one", 90), weighted("two", 10)];
    let mut round_robin = WeightedRoundRobin::default();
    let chosen = (0..300).filter(|_| round_robin.next_index(&services) == 1);
    assert_eq!(chosen.count(), 30);
}
