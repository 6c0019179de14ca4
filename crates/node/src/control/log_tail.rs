//! Following one stream of the log service.

use std::time::Duration;

use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::boundary::Stream;
use quetzalrack_core::ids::Offset;

use super::ControlEvent;
use super::ControlParts;

/// Delay after the first failed read; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Reads one stream, one read at a time, with exponential backoff while reads fail.
pub(super) struct LogTail {
    stream: Stream,
    to_event: fn(ReadOutcome) -> ControlEvent,
    long_poll: Duration,
    failures: u32,
    /// Whether this node has to follow the stream itself.
    needed: bool,
    /// Whether a read is in progress.
    reading: bool,
    /// Whether the last read reached the stream's end.
    reached_end: bool,
}

impl LogTail {
    /// Follows `stream`; `to_event` converts each outcome to an event for the control thread. A read
    /// waits up to `long_poll` at the log service for a record.
    pub(super) fn open(
        stream: Stream,
        to_event: fn(ReadOutcome) -> ControlEvent,
        long_poll: Duration,
    ) -> Self {
        Self {
            stream,
            to_event,
            long_poll,
            needed: true,
            reading: false,
            failures: 0,
            reached_end: false,
        }
    }

    /// Returns the stream.
    pub(super) fn stream(&self) -> &Stream {
        &self.stream
    }

    /// Records the outcome of the last read; returns whether reads began to fail or to succeed again.
    pub(super) fn record_outcome(&mut self, outcome: &ReadOutcome) -> bool {
        self.reading = false;
        let was_failing = self.failures > 0;
        let succeeded = *outcome != ReadOutcome::Unavailable;
        self.failures = match succeeded {
            true => 0,
            false => self.failures.saturating_add(1),
        };
        self.reached_end = matches!(outcome, ReadOutcome::Entries { at_end: true, .. });
        was_failing == succeeded
    }

    /// Returns whether this node has to follow the stream itself.
    pub(super) fn is_needed(&self) -> bool {
        self.needed
    }

    /// Returns whether a read is in progress.
    pub(super) fn is_reading(&self) -> bool {
        self.reading
    }

    /// Returns whether the last read failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Reads from `from` if the stream is needed and no read is in progress.
    pub(super) fn follow(&mut self, is_needed: bool, from: Offset, parts: &ControlParts) {
        self.needed = is_needed;
        if !is_needed && !self.reading {
            // The stream may have grown by the time it is needed again.
            self.reached_end = false;
            self.failures = 0;
        }
        if is_needed && !self.reading {
            self.reading = true;
            self.read(from, parts);
        }
    }

    fn read(&self, from: Offset, parts: &ControlParts) {
        let log = parts.boundaries.log.clone();
        let inbox = parts.inbox.clone();
        let stream = self.stream.clone();
        let to_event = self.to_event;
        let backoff = self.backoff();
        // A node must reach the stream's end before it may claim a term, so until then its reads
        // don't wait. Otherwise an empty stream would delay the first controller by a whole long
        // poll.
        let wait = if self.reached_end {
            self.long_poll
        } else {
            Duration::ZERO
        };
        parts.runtime.spawn(async move {
            if !backoff.is_zero() {
                tokio::time::sleep(backoff).await;
            }
            let outcome = log.read(&stream, from, wait).await;
            inbox.send(to_event(outcome));
        });
    }

    fn backoff(&self) -> Duration {
        match self.failures {
            0 => Duration::ZERO,
            failures => {
                let doubled = MIN_BACKOFF * 2_u32.pow(failures.min(8) - 1);
                doubled.min(MAX_BACKOFF)
            }
        }
    }
}
