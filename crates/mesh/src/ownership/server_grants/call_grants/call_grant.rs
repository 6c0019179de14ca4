//! A grant by call.

use quetzalrack_core::time::Moment;

use crate::model::HeldRange;
use crate::model::KeyRange;
use crate::model::ServerIncarnation;

/// A range granted by call to an incarnation of the server, and the bounds within which it is held.
#[derive(Clone, Debug)]
pub(super) struct CallGrant {
    pub(super) held: HeldRange,
    pub(super) incarnation: ServerIncarnation,
    /// The server certainly does not hold the range after this.
    pub(super) latest_end: Moment,
    /// The server certainly holds the range until this, unless it has released it.
    pub(super) earliest_end: Moment,
    /// Until this the server may still carry out a grant call that got no response, so a release does
    /// not end the grant.
    pub(super) unanswered_until: Moment,
    /// Whether the server has released the range; a grant call that got no response may restore it.
    pub(super) released: bool,
    /// When the grant is to be renewed.
    pub(super) renew_at: Moment,
}

impl CallGrant {
    /// Returns what is left of the grant after the server has released some keys. While an unanswered
    /// call may still be carried out and restore them, the released part is kept, marked as released.
    pub(super) fn after_release(self, now: Moment, keys: &KeyRange) -> Vec<Self> {
        let part = |keys: KeyRange| Self {
            held: HeldRange { keys, ..self.held },
            ..self.clone()
        };
        let rest = self.held.keys.without(keys).into_iter().flatten();
        let mut left: Vec<Self> = rest.map(part).collect();
        let common = self.held.keys.common(keys);
        left.extend(
            common
                .filter(|_| now < self.unanswered_until)
                .map(|keys| Self {
                    latest_end: self.unanswered_until,
                    earliest_end: Moment::default(),
                    released: true,
                    renew_at: now,
                    ..part(keys)
                }),
        );
        left
    }
}
