//! When the controller republishes a snapshot.

use std::time::Duration;

use crate::time::Moment;
use crate::time::WallTime;

/// How long a snapshot that was appended may take to be read back before it is made again.
const RETRY: Duration = Duration::from_secs(10);
/// A log may also keep a limited number of records; a snapshot follows after so many at the latest.
const MOST_RECORDS: u32 = 50;
/// The part of the usual time that passes at least between snapshots, whatever the calendar says.
const LEAST_PART: u32 = 10;

/// Decides when the newest snapshot in the log is old enough to be made again.
///
/// The log's own times are used because a new controller has not lived as long as the snapshot; a
/// host with a wrong calendar then still makes one in time by its own clock, and not too many.
#[derive(Clone, Debug)]
pub(super) struct CopySchedule {
    every: Duration,
    started: bool,
    records: u32,
    taken: Option<WallTime>,
    seen: Option<Moment>,
    tried: Option<Moment>,
}

impl CopySchedule {
    pub fn open(every: Duration) -> Self {
        Self {
            every,
            started: false,
            records: 0,
            taken: None,
            seen: None,
            tried: None,
        }
    }

    /// Notes a record; before the first one nothing can have expired.
    pub fn note_record(&mut self, now: Moment, taken: WallTime) {
        self.records = self.records.saturating_add(1);
        if !self.started {
            self.started = true;
            self.note_copy(now, taken);
        }
    }

    pub fn note_copy(&mut self, now: Moment, taken: WallTime) {
        self.records = 0;
        self.taken = Some(taken);
        self.seen = Some(now);
        self.tried = None;
    }

    /// Notes that the newest copy in the log is behind, so that another one is due.
    pub fn note_stale(&mut self) {
        self.taken = None;
        self.seen = None;
    }

    pub fn note_attempt(&mut self, now: Moment) {
        self.tried = Some(now);
    }

    pub fn may_try(&self, now: Moment) -> bool {
        self.tried.is_none_or(|tried| now.since(tried) >= RETRY)
    }

    pub fn is_due(&self, now: Moment, wall: WallTime) -> bool {
        let (Some(seen), Some(taken)) = (self.seen, self.taken) else {
            return true;
        };
        let lived = now.since(seen);
        self.records >= MOST_RECORDS
            || lived >= self.every
            || (wall.since(taken) >= self.every && lived >= self.every / LEAST_PART)
    }
}
