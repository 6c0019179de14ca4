//! What a response is told by as the one to a call.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use quetzalrack_core::time::Moment;

/// Stands for the id that a response repeats.
///
/// A server may send a response a second time, where the next one is expected. The id tells it from the
/// response to another call, but not from the response to a repeat of the same one: a repeat must not go out
/// on a connection that has carried its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallTag {
    /// A hash of the id. Two ids with one hash cost a connection.
    id: u64,
    /// When the last repeat under this id has been sent.
    until: Moment,
}

impl CallTag {
    pub(crate) fn new<T>(id: &T, until: Moment) -> Self
    where
        T: Hash + ?Sized,
    {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self {
            id: hasher.finish(),
            until,
        }
    }

    pub(super) fn is_same_id(&self, other: &Self) -> bool {
        self.id == other.id
    }

    pub(super) fn has_ended(&self, now: Moment) -> bool {
        self.until < now
    }
}
