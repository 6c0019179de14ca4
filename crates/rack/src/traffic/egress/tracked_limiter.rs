//! The limiter of one request, which remembers whether the request may have been written.

use std::cell::Cell;
use std::time::Duration;

use quetzalrack_mesh::traffic::RefusalReason;
use tokio::sync::Notify;

use crate::traffic::wire::WriteLimiter;

/// How long a request that must not be written is held until its sending is given up.
const REFUSED_WAIT: Duration = Duration::from_millis(5);

/// Records whether the limiter has allowed the request to be written; until then nothing of it was
/// sent.
pub(super) struct TrackedLimiter<'a> {
    limiter: &'a dyn WriteLimiter,
    refusal: &'a dyn Fn() -> Option<(RefusalReason, Duration)>,
    write_allowed: Cell<bool>,
    /// Why the request must not be written any more.
    refused: Cell<Option<(RefusalReason, Duration)>>,
    was_refused: Notify,
}

impl<'a> TrackedLimiter<'a> {
    pub(super) fn new(
        limiter: &'a dyn WriteLimiter,
        refusal: &'a dyn Fn() -> Option<(RefusalReason, Duration)>,
    ) -> Self {
        Self {
            limiter,
            refusal,
            write_allowed: Cell::default(),
            refused: Cell::default(),
            was_refused: Notify::new(),
        }
    }

    /// Waits until the request must not be written any more, and returns why and when to retry.
    pub(super) async fn refused(&self) -> (RefusalReason, Duration) {
        loop {
            if let Some(refused) = self.refused.get() {
                return refused;
            }
            self.was_refused.notified().await;
        }
    }

    pub(super) fn is_write_allowed(&self) -> bool {
        self.write_allowed.get()
    }
}

impl WriteLimiter for TrackedLimiter<'_> {
    fn try_write(&self) -> Option<Duration> {
        if let Some(refused) = (self.refusal)() {
            self.refused.set(Some(refused));
            self.was_refused.notify_one();
            return Some(REFUSED_WAIT);
        }
        let wait = self.limiter.try_write();
        self.write_allowed
            .set(self.write_allowed.get() || wait.is_none());
        wait
    }
}
