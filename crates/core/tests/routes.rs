//! Matching requests to routes.

#![allow(clippy::unwrap_used, clippy::panic)]

use assert_matches::assert_matches;
use quetzalrack_core::document::EnvironmentDocument;
use quetzalrack_core::document::spec::Method;
use quetzalrack_core::traffic::routes::MatchedRoute;
use quetzalrack_core::traffic::routes::RouteMatch;
use quetzalrack_core::traffic::routes::RouteTable;

fn table() -> RouteTable {
    let text = include_str!("../../../examples/bagmati.json");
    let document: EnvironmentDocument = serde_json::from_str(text).unwrap();
    RouteTable::new(&document)
}

fn found(method: Method, path: &str) -> MatchedRoute {
    match table().find(method, path) {
        RouteMatch::Found(matched) => matched,
        other => panic!("{path}: {other:?}"),
    }
}

#[test]
fn keys_and_owners() {
    let listing = found(Method::Get, "/listings/omega-1");
    assert_eq!(listing.key.as_deref(), Some("omega-1"));
    assert!(listing.needs_owner());
    let release = found(Method::Post, "/escrow/e7/release");
    assert_eq!(release.key.as_deref(), Some("e7"));
    assert!(release.needs_owner());
    assert!(found(Method::Get, "/escrow/e7").runs_anywhere());
}

#[test]
fn no_route() {
    for path in [
        "/",
        "/listings",
        "/listings/",
        "/listings/a/b",
        "/Listings/a",
    ] {
        assert_eq!(
            table().find(Method::Get, path),
            RouteMatch::NoRoute,
            "{path}"
        );
    }
    assert_eq!(table().find(Method::Put, "/escrow/e7"), RouteMatch::NoRoute);
}

/// Two encodings of one key must give the same key, or two nodes would own it.
#[test]
fn equal_encodings() {
    let plain = found(Method::Get, "/listings/a-b");
    let encoded = found(Method::Get, "/listings/a%2Db");
    assert_eq!(plain.key, encoded.key);
    assert_matches!(
        table().find(Method::Get, "/listings/a%2"),
        RouteMatch::BadPath
    );
    assert_matches!(
        table().find(Method::Get, "/listings/%ff"),
        RouteMatch::BadPath
    );
}
