//! The reader of the intent stream.

use std::sync::Arc;

use super::InForce;
use super::IntentAction;
use super::IntentConfig;
use super::IntentEvent;
use super::IntentHappening;
use super::IntentSnapshot;
use super::LogRecord;
use super::SignedOrder;
use super::Stage;
use super::StageState;
use super::copy_schedule::CopySchedule;
use super::read_gap::ReadGap;
use super::replay::Replay;
use super::snapshot_body::SnapshotBody;
use crate::boundary::LogEntry;
use crate::document::EnvironmentDocument;
use crate::ids::DocumentDigest;
use crate::ids::Offset;
use crate::ids::Version;
use crate::time::Moment;
use crate::time::WallTime;

/// Follows the intent of one environment: replays the log, takes snapshots from peers when the log
/// can't be read, and never goes back to an older version.
#[derive(Clone, Debug)]
pub struct IntentState {
    pub(super) config: IntentConfig,
    pub(super) replay: Replay,
    /// Every record before this offset is decided.
    pub(super) covered: Offset,
    /// Where to read next; beyond `covered` only while records are missing.
    pub(super) next: Offset,
    pub(super) missed: Option<ReadGap>,
    pub(super) caught_up: bool,
    pub(super) may_republish: bool,
    pub(super) copies: CopySchedule,
    pub(super) now: Moment,
    pub(super) wall: WallTime,
}

impl IntentState {
    /// Opens a reader that knows nothing yet and reads the stream from its start.
    pub fn open(config: IntentConfig) -> Self {
        Self {
            copies: CopySchedule::open(config.copy_every),
            config,
            replay: Replay::default(),
            covered: Offset::default(),
            next: Offset::default(),
            missed: None,
            caught_up: false,
            may_republish: false,
            now: Moment::default(),
            wall: WallTime::default(),
        }
    }

    /// Takes one event and returns what must be done.
    pub fn step(&mut self, now: Moment, event: IntentEvent) -> Vec<IntentAction> {
        self.now = now;
        let before = self.version();
        let mut actions = match event {
            IntentEvent::LogRead { entries, at_end } => self.read(&entries, at_end),
            IntentEvent::LogExpired(oldest) => self.expire(oldest),
            IntentEvent::SnapshotReceived(snapshot) => self.adopt(&snapshot),
            IntentEvent::Tick { wall } => {
                self.wall = wall;
                self.republish()
            }
            IntentEvent::RepublishAllowed(allowed) => {
                self.may_republish = allowed;
                Vec::new()
            }
            IntentEvent::KeysChanged(keys) => {
                self.config.keys = keys;
                Vec::new()
            }
        };
        if self.version() != before {
            actions.extend(self.in_force().map(Arc::new).map(IntentAction::InForce));
        }
        actions
    }

    /// Returns the version in force in the followed stage.
    pub fn version(&self) -> Version {
        self.stage(self.config.stage).version()
    }

    /// Returns the accepted orders of a stage.
    pub fn stage(&self, stage: Stage) -> &StageState {
        self.replay.stage(stage)
    }

    /// Returns the text of a document that a kept order names.
    pub fn document_text(&self, digest: DocumentDigest) -> Option<Arc<str>> {
        self.replay.documents.text(digest)
    }

    /// Returns the document in force in a stage.
    pub fn document_of(&self, stage: Stage) -> Option<Arc<EnvironmentDocument>> {
        let digest = self.stage(stage).digest()?;
        self.replay.documents.document(digest)
    }

    /// Returns where to read the stream next; to be asked before every read.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Tells whether every record up to the stream's end, as last read, is decided.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up && self.missed.is_none()
    }

    /// Tells whether records expired unread and no snapshot has covered them yet.
    pub fn has_gap(&self) -> bool {
        self.missed.is_some()
    }

    /// Returns what is in force in the followed stage.
    pub fn in_force(&self) -> Option<InForce> {
        let state = self.stage(self.config.stage);
        let digest = state.digest()?;
        Some(InForce {
            version: state.version(),
            digest,
            document: self.replay.documents.document(digest)?,
            zones_out: state.zones_out().clone(),
            servers_out: state.servers_out().clone(),
        })
    }

    /// Returns a snapshot for peers that can't reach the log; none while nothing is known.
    pub fn snapshot(&self) -> Option<IntentSnapshot> {
        self.snapshot_up_to(self.covered)
    }

    /// Returns a snapshot that declares the little that is known to be all there is, for an
    /// operator to append when every copy expired and no node is left that knows more.
    pub fn fresh_start(&self) -> Option<IntentSnapshot> {
        let is_lost = self.missed.is_some() && self.caught_up && self.replay.is_empty();
        is_lost.then(|| self.snapshot_up_to(self.next))?
    }

    pub(super) fn snapshot_up_to(&self, covered: Offset) -> Option<IntentSnapshot> {
        if covered == Offset::default() {
            return None;
        }
        let environment = self.config.environment.clone();
        let body = self.replay.to_body(environment, covered, self.wall);
        IntentSnapshot::sign(&body, &self.config.keys).ok()
    }

    fn read(&mut self, entries: &[LogEntry], at_end: bool) -> Vec<IntentAction> {
        let mut actions = Vec::new();
        self.caught_up = at_end;
        for entry in entries {
            if entry.offset < self.next {
                continue;
            }
            if entry.offset > self.next {
                // A hole in what was handed in; the next read starts where it begins.
                self.caught_up = false;
                break;
            }
            self.next = entry.offset.next();
            self.copies.note_record(self.now, entry.taken);
            actions.extend(self.read_entry(entry));
            if self.missed.is_none() && self.next < entry.offset.next() {
                // A snapshot was taken over that covers less than was read; read again from there.
                self.caught_up = false;
                break;
            }
        }
        actions
    }

    fn read_entry(&mut self, entry: &LogEntry) -> Vec<IntentAction> {
        let record = match entry.data.len() > LogRecord::MAX_BYTES {
            true => None,
            false => serde_json::from_slice(&entry.data).ok(),
        };
        let happening = match record {
            Some(LogRecord::Copy(snapshot)) => self.read_copy(entry, &snapshot),
            Some(LogRecord::Order(signed)) if self.missed.is_none() => {
                Some(self.read_order(entry.offset, &signed))
            }
            // Whether an order counts can't be told while earlier ones are missing.
            Some(LogRecord::Order(_)) => None,
            None => Some(IntentHappening::RecordIgnored {
                offset: entry.offset,
            }),
        };
        if self.missed.is_none() && self.covered == entry.offset {
            self.covered = entry.offset.next();
            self.next = self.covered;
        }
        happening.into_iter().map(IntentAction::Explain).collect()
    }

    fn read_order(&mut self, offset: Offset, signed: &SignedOrder) -> IntentHappening {
        let body = match signed.open() {
            Ok(body) if signed.is_authentic(&self.config.keys) => body,
            _ => return IntentHappening::RecordIgnored { offset },
        };
        let id = body.id;
        let stage = body.order.stage();
        let summary = (&body).into();
        match self
            .replay
            .decide(&self.config.environment, offset, signed, body)
        {
            Ok(()) => IntentHappening::OrderAccepted { stage, summary },
            Err(rejection) => IntentHappening::OrderRejected {
                id,
                stage,
                rejection,
            },
        }
    }

    fn read_copy(&mut self, entry: &LogEntry, copy: &IntentSnapshot) -> Option<IntentHappening> {
        let body = copy.open(&self.config.keys)?;
        let replay = Replay::from_body(&body, &self.config.keys)?;
        // A copy that lacks a newer order does not keep that order beyond its retention, and a
        // reader that starts from it alone would stay behind; it must be made again at once.
        match self.replay.is_ahead_of(&replay) {
            true => self.copies.note_stale(),
            false => self.copies.note_copy(self.now, entry.taken),
        }
        self.take_over(&body, replay).then(|| self.adopted())
    }

    fn adopt(&mut self, snapshot: &IntentSnapshot) -> Vec<IntentAction> {
        let happening = match snapshot.open(&self.config.keys) {
            Some(body) => Replay::from_body(&body, &self.config.keys)
                .is_some_and(|replay| self.take_over(&body, replay))
                .then(|| self.adopted()),
            None => Some(IntentHappening::SnapshotIgnored),
        };
        happening.into_iter().map(IntentAction::Explain).collect()
    }

    fn adopted(&self) -> IntentHappening {
        IntentHappening::SnapshotAdopted {
            trial: self.replay.trial.version(),
            production: self.replay.production.version(),
        }
    }

    /// Takes a snapshot over if no stage would go back and it is newer in some stage or, with the
    /// same versions, covers more records.
    ///
    /// Without the first condition a late copy, made by a controller that had not read the newest
    /// promotion, would bring an older document back into force. A newer version wins also when it
    /// covers less: after a recovery from a gap two readers may have gone on from different
    /// versions, and the higher one must win at all of them.
    fn take_over(&mut self, body: &SnapshotBody, replay: Replay) -> bool {
        let covered = body.covered;
        let is_newer = replay.is_ahead_of(&self.replay) || covered > self.covered;
        let is_ours = body.environment == self.config.environment;
        if !is_ours || !is_newer || self.replay.is_ahead_of(&replay) {
            return false;
        }
        self.replay = replay;
        self.covered = covered;
        if self.missed.is_none_or(|gap| covered >= gap.oldest) {
            self.missed = None;
            self.next = covered;
        }
        true
    }

    fn expire(&mut self, oldest: Offset) -> Vec<IntentAction> {
        if oldest <= self.next {
            return Vec::new();
        }
        let from = self.next;
        self.next = oldest;
        self.caught_up = false;
        let since = self.missed.map_or(self.now, |gap| gap.since);
        self.missed = Some(ReadGap { since, oldest });
        let to = oldest;
        vec![IntentAction::Explain(IntentHappening::RecordsMissed {
            from,
            to,
        })]
    }
}
