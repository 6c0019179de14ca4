//! Datagrams that no sound node sends.
#![allow(clippy::unwrap_used, clippy::panic)]

use quetzalrack_mesh::model::KeyRange;

/// Guards against a thread that ends: a range of a mangled datagram whose first key is above its last reached the
/// count of requests by key, which panics at it.
#[test]
fn reversed_range() {
    let encoded = postcard::to_allocvec(&KeyRange { first: 9, last: 3 }).unwrap();
    assert!(postcard::from_bytes::<KeyRange>(&encoded).is_err());
}
