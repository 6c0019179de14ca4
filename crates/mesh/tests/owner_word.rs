//! Hints about a key's owner in refusals of requests.
#![allow(clippy::unwrap_used)]

use quetzalrack_mesh::model::KeyRange;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::ownership::Epoch;
use quetzalrack_mesh::traffic::OwnerHint;

fn directory(epoch: u64, version: u64, owner: &str) -> Directory {
    let keys = KeyRange::new(0, 9_999).unwrap();
    let mut directory = Directory {
        epoch: Epoch(epoch),
        owners_version: version,
        ..Directory::default()
    };
    let ranges = vec![(keys, owner.parse().unwrap())];
    directory.owners.insert("keyed".parse().unwrap(), ranges);
    directory
}

/// Guards against requests that are sent back to the server that has just released their keys: a hint counts
/// only if its table is newer than the receiver's own.
#[test]
fn newer_table() {
    let hint = OwnerHint::of(&directory(256, 7, "node-2"), &"keyed".parse().unwrap(), 5).unwrap();
    assert!(hint.is_newer(&directory(256, 6, "node-1")));
    assert!(hint.is_newer(&directory(1, 9, "node-1")));
    assert!(!hint.is_newer(&directory(256, 7, "node-2")));
    assert!(!hint.is_newer(&directory(257, 1, "node-1")));
}

/// Guards against hints that change when they are written and parsed.
#[test]
fn round_trip() {
    let hint = OwnerHint::of(&directory(256, 7, "node-2"), &"keyed".parse().unwrap(), 5);
    let parsed = hint.as_ref().map(|hint| hint.to_string().parse());
    assert_eq!(parsed, hint.map(Ok));
    assert!("256/7".parse::<OwnerHint>().is_err());
    assert_eq!(
        OwnerHint::of(
            &directory(256, 7, "node-2"),
            &"keyed".parse().unwrap(),
            10_000
        ),
        None
    );
}
