//! Appends of records to the control stream.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use uuid::Builder;

use super::ControlLog;
use super::Outbox;
use super::PendingAppend;
use super::RecordKind;
use crate::boundary::AppendOutcome;
use crate::ids::RecordId;
use crate::ownership::OwnershipAction;
use crate::ownership::record::ControlBody;
use crate::ownership::record::ControlRecord;
use crate::time::Moment;

/// How long to wait for the outcome of an append before it is retried.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The delay before a retry after a refusal or a lost answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Appends records and retries each until it is read back. A retry carries the same id, so a record
/// whose answer was lost counts once.
#[derive(Debug, Default)]
pub(super) struct Appender {
    pending: Vec<PendingAppend>,
}

impl Appender {
    /// Tells whether a record of this kind is being appended.
    pub(super) fn has_pending(&self, kind: RecordKind) -> bool {
        self.pending.iter().any(|pending| pending.kind == kind)
    }

    /// Stops retrying the records of a kind, because they are no longer needed.
    pub(super) fn cancel(&mut self, kind: RecordKind) {
        self.pending.retain(|pending| pending.kind != kind);
    }

    /// Appends a new record.
    pub(super) fn append(
        &mut self,
        now: Moment,
        kind: RecordKind,
        body: ControlBody,
        rng: &mut ChaCha8Rng,
        out: &mut Outbox,
    ) {
        let id = RecordId(Builder::from_random_bytes(rng.random()).into_uuid());
        let Ok(data) = serde_json::to_vec(&ControlRecord { id, body }) else {
            log::error!(event = "control_record_unwritable"; "failed to encode a control record as JSON");
            return;
        };
        out.push(OwnershipAction::Append {
            id,
            data: data.clone(),
        });
        self.pending.push(PendingAppend {
            id,
            kind,
            data,
            retry_at: now + APPEND_TIMEOUT,
        });
    }

    /// Records the outcome of an append.
    pub(super) fn record_outcome(&mut self, now: Moment, id: RecordId, outcome: AppendOutcome) {
        if let AppendOutcome::Appended(_) = outcome {
            self.pending.retain(|pending| pending.id != id);
            return;
        }
        for pending in &mut self.pending {
            if pending.id == id {
                pending.retry_at = now + RETRY_DELAY;
            }
        }
    }

    /// Retries the appends that are due and drops those whose record was read back.
    pub(super) fn retry(&mut self, now: Moment, log: &ControlLog, out: &mut Outbox) {
        self.pending.retain(|pending| !log.contains(pending.id));
        for pending in &mut self.pending {
            if pending.retry_at <= now {
                pending.retry_at = now + APPEND_TIMEOUT;
                out.push(OwnershipAction::Append {
                    id: pending.id,
                    data: pending.data.clone(),
                });
            }
        }
    }
}
