//! Records on their way into the log.

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

/// How long an append may take before it is tried again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long to wait after a refusal or a lost answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Appends records until each is read back. A retry carries the same id, so a record whose answer
/// was lost counts once.
#[derive(Debug, Default)]
pub(super) struct Appender {
    pending: Vec<PendingAppend>,
}

impl Appender {
    /// Tells whether a record of this kind is on its way.
    pub(super) fn has(&self, kind: RecordKind) -> bool {
        self.pending.iter().any(|pending| pending.kind == kind)
    }

    /// Gives up the records of a kind, because they have lost their reason.
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
            log::error!(event = "control_record_unwritable"; "a control record has no JSON form");
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
            next_try: now + ANSWER_TIMEOUT,
        });
    }

    /// Takes the outcome of an append.
    pub(super) fn finish(&mut self, now: Moment, id: RecordId, outcome: AppendOutcome) {
        if let AppendOutcome::Appended(_) = outcome {
            self.pending.retain(|pending| pending.id != id);
            return;
        }
        for pending in &mut self.pending {
            if pending.id == id {
                pending.next_try = now + RETRY_PAUSE;
            }
        }
    }

    /// Retries what is due and drops what has been read back.
    pub(super) fn retry(&mut self, now: Moment, log: &ControlLog, out: &mut Outbox) {
        self.pending.retain(|pending| !log.contains(pending.id));
        for pending in &mut self.pending {
            if pending.next_try <= now {
                pending.next_try = now + ANSWER_TIMEOUT;
                out.push(OwnershipAction::Append {
                    id: pending.id,
                    data: pending.data.clone(),
                });
            }
        }
    }
}
