//! One grant by call.

use quetzalrack_core::time::Moment;

use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::model::ServerLife;

/// Is a range that a life of the server was granted, and what is certain of it.
#[derive(Clone, Debug)]
pub(super) struct CalledGrant {
    pub(super) held: HeldRange,
    pub(super) life: ServerLife,
    /// After this the server has surely lost it.
    pub(super) until: Moment,
    /// Before this the server surely has it, unless it was released.
    pub(super) serves: Moment,
    /// Until then a call for it without an answer may be obeyed, and a release does not end it.
    pub(super) doubt: Moment,
    /// Whether the server has released it; a call without an answer may bring it back.
    pub(super) released: bool,
    /// When it is to be renewed.
    pub(super) due: Moment,
}

impl CalledGrant {
    /// Returns what is left after the server has released some keys. A call that may still be obeyed
    /// would bring them back, so a doubtful grant stays until its end, known as released.
    pub(super) fn after_release(self, now: Moment, keys: &KeyRange) -> Vec<Self> {
        let part = |keys: KeyRange| Self {
            held: HeldRange { keys, ..self.held },
            ..self.clone()
        };
        let rest = self.held.keys.without(keys).into_iter().flatten();
        let mut left: Vec<Self> = rest.map(part).collect();
        let common = self.held.keys.common(keys);
        left.extend(common.filter(|_| now < self.doubt).map(|keys| Self {
            until: self.doubt,
            serves: Moment::default(),
            released: true,
            due: now,
            ..part(keys)
        }));
        left
    }
}
