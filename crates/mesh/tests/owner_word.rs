//! What a node that refuses a request says of its key's owner.
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
    let rows = vec![(keys, owner.parse().unwrap())];
    directory.owners.insert("keyed".parse().unwrap(), rows);
    directory
}

/// Guards against requests that are sent back to the server that has just released their keys: only a table
/// with later news than one's own counts.
#[test]
fn later_news() {
    let word = OwnerHint::of(&directory(256, 7, "node-2"), &"keyed".parse().unwrap(), 5).unwrap();
    assert!(word.is_newer(&directory(256, 6, "node-1")));
    assert!(word.is_newer(&directory(1, 9, "node-1")));
    assert!(!word.is_newer(&directory(256, 7, "node-2")));
    assert!(!word.is_newer(&directory(257, 1, "node-1")));
}

/// Guards against words that change on their way between nodes.
#[test]
fn on_its_way() {
    let word = OwnerHint::of(&directory(256, 7, "node-2"), &"keyed".parse().unwrap(), 5);
    let read = word.as_ref().map(|word| word.to_string().parse());
    assert_eq!(read, word.map(Ok));
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
