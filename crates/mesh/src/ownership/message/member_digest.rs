//! A hash of what is known of a member.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use serde::Deserialize;
use serde::Serialize;

use super::Member;

/// A four-byte hash of everything that a node knows of another.
///
/// A new leader starts its version numbers anew. With digests it need not send the whole member table to
/// every node again, which at a hundred nodes is more than a narrow link carries in a second. If two
/// builds hash differently, the whole table is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct MemberDigest(u32);

impl MemberDigest {
    /// Hashes a member together with whether the leader receives its heartbeats.
    pub fn of(member: &Member, responsive: bool) -> Self {
        let mut hasher = DefaultHasher::new();
        member.hash(&mut hasher);
        responsive.hash(&mut hasher);
        let [a, b, c, d, ..] = hasher.finish().to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}
