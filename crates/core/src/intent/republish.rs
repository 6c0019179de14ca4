//! Keeping the newest intent in the log beyond the retention of its records.

use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;

use super::IntentAction;
use super::IntentState;
use super::LogRecord;
use crate::ids::RecordId;

/// How long a controller that missed records asks peers for them before it publishes what it has.
const GAP_WAIT: Duration = Duration::from_secs(15);

impl IntentState {
    /// Republishes what is in force well before its records expire.
    ///
    /// A controller that missed records asks its peers first; when none knew more for a while, its
    /// own state is the newest there is, and readers would wait for ever if it kept it to itself.
    pub(super) fn republish(&mut self) -> Vec<IntentAction> {
        if !self.may_republish || !self.caught_up || self.replay.is_empty() {
            return Vec::new();
        }
        let is_due = match self.missed {
            Some(gap) => self.now.since(gap.since) >= GAP_WAIT,
            None => self.copies.is_due(self.now, self.wall),
        };
        if !is_due || !self.copies.may_try(self.now) {
            return Vec::new();
        }
        self.copies.note_attempt(self.now);
        self.append_copy().into_iter().collect()
    }

    fn append_copy(&self) -> Option<IntentAction> {
        let snapshot = self.snapshot_up_to(self.next)?;
        let data = LogRecord::Copy(snapshot).to_data().ok()?;
        let mut id = [0; size_of::<u128>()];
        id.copy_from_slice(&Sha256::digest(&data)[..size_of::<u128>()]);
        let id = RecordId(uuid::Uuid::from_bytes(id));
        Some(IntentAction::Append { id, data })
    }
}
