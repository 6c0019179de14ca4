//! A lease as its holder knows it.

use crate::ids::Fence;
use crate::time::Moment;

/// Allows its holder to serve one slice until `deadline` on the holder's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The grant's fence.
    pub fence: Fence,
    /// When the holder stops serving; the safety margin is already subtracted.
    pub deadline: Moment,
    /// Whether new requests are admitted; a slice being handed over only finishes earlier ones.
    pub admits: bool,
}

impl Lease {
    /// Tells whether the holder may act under this lease at `now`.
    pub fn is_valid(&self, now: Moment) -> bool {
        now < self.deadline
    }
}
