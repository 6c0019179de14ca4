//! The limiter of one request, which remembers whether the request may have been written.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;

use crate::traffic::wire::WriteLimiter;

/// How long a request that must not be written is held until its sending is given up.
const REFUSED_WAIT: Duration = Duration::from_millis(5);

/// Records whether the limiter has allowed the request to be written; until then nothing of it was
/// sent.
pub(super) struct TrackedLimiter<'a> {
    limiter: &'a dyn WriteLimiter,
    may_write: &'a dyn Fn() -> bool,
    write_allowed: Cell<bool>,
    /// Notified when the request must not be written any more.
    pub(super) refused: Notify,
}

impl<'a> TrackedLimiter<'a> {
    pub(super) fn new(limiter: &'a dyn WriteLimiter, may_write: &'a dyn Fn() -> bool) -> Self {
        Self {
            limiter,
            may_write,
            write_allowed: Cell::default(),
            refused: Notify::new(),
        }
    }

    pub(super) fn is_write_allowed(&self) -> bool {
        self.write_allowed.get()
    }
}

impl WriteLimiter for TrackedLimiter<'_> {
    fn try_write(&self) -> Option<Duration> {
        if !(self.may_write)() {
            self.refused.notify_one();
            return Some(REFUSED_WAIT);
        }
        let wait = self.limiter.try_write();
        self.write_allowed
            .set(self.write_allowed.get() || wait.is_none());
        wait
    }
}
