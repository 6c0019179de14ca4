//! A request under way at the backend server.

use std::sync::Arc;

use quetzalrack_core::traffic::poison::RunId;

use super::Suspects;

/// A request under way at the server; dropping it means that nobody waits for its response any more.
pub(in crate::traffic) struct SuspectRun {
    pub(super) suspects: Arc<Suspects>,
    pub(super) id: RunId,
}

impl SuspectRun {
    /// Records that the server responded.
    pub(in crate::traffic) fn answered(self) {
        self.suspects.record_answer(self.id);
    }

    /// Records that the server certainly did not run the request.
    pub(in crate::traffic) fn not_run(self) {
        self.suspects
            .update(|_, tracker| tracker.guard_mut().record_not_run(self.id));
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.suspects
            .update(|now, tracker| tracker.guard_mut().record_cancelled(now, self.id));
    }
}
