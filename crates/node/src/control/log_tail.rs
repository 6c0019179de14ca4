//! Following one stream of the log.

use std::time::Duration;

use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::boundary::Stream;
use quetzalrack_core::ids::Offset;

use super::ControlEvent;
use super::ControlParts;

/// The first wait after a read that failed.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest wait after reads that failed.
const LONGEST_BACKOFF: Duration = Duration::from_secs(1);

/// Reads one stream, one read at a time, backing off while the log service is down.
pub(super) struct LogTail {
    stream: Stream,
    wrap: fn(ReadOutcome) -> ControlEvent,
    long_poll: Duration,
    failures: u32,
    /// Whether this node has to follow the stream itself.
    needed: bool,
    /// Whether a read is under way.
    reading: bool,
    /// Whether the stream's end was seen.
    ended: bool,
}

impl LogTail {
    /// Follows `stream`; each outcome reaches the control thread as `wrap` makes it. A read waits
    /// up to `long_poll` at the log service for a record.
    pub(super) fn open(
        stream: Stream,
        wrap: fn(ReadOutcome) -> ControlEvent,
        long_poll: Duration,
    ) -> Self {
        Self {
            stream,
            wrap,
            long_poll,
            needed: true,
            reading: false,
            failures: 0,
            ended: false,
        }
    }

    /// Returns the stream.
    pub(super) fn stream(&self) -> &Stream {
        &self.stream
    }

    /// Notes how the last read ended; tells whether the log service's condition changed.
    pub(super) fn record_outcome(&mut self, outcome: &ReadOutcome) -> bool {
        self.reading = false;
        let was_failing = self.failures > 0;
        let answered = *outcome != ReadOutcome::Unavailable;
        self.failures = match answered {
            true => 0,
            false => self.failures.saturating_add(1),
        };
        self.ended = matches!(outcome, ReadOutcome::Entries { at_end: true, .. });
        was_failing == answered
    }

    /// Tells whether this node has to follow the stream itself.
    pub(super) fn is_needed(&self) -> bool {
        self.needed
    }

    /// Tells whether a read is under way.
    pub(super) fn is_reading(&self) -> bool {
        self.reading
    }

    /// Tells whether the log service failed to answer the last read.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Reads on from `from` while the stream is needed and no read is under way.
    pub(super) fn follow(&mut self, is_needed: bool, from: Offset, parts: &ControlParts) {
        self.needed = is_needed;
        if !is_needed && !self.reading {
            // What was the end may not be it any more when the stream is needed again.
            self.ended = false;
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
        let wrap = self.wrap;
        let pause = self.pause();
        // Nobody may claim a term before it knows the stream's end, so a node that has not seen it
        // does not wait there: with an empty stream the first controller would be late by a whole
        // long poll.
        let wait = if self.ended {
            self.long_poll
        } else {
            Duration::ZERO
        };
        parts.runtime.spawn(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let outcome = log.read(&stream, from, wait).await;
            inbox.send(wrap(outcome));
        });
    }

    fn pause(&self) -> Duration {
        match self.failures {
            0 => Duration::ZERO,
            failures => {
                let doubled = FIRST_BACKOFF * 2_u32.pow(failures.min(8) - 1);
                doubled.min(LONGEST_BACKOFF)
            }
        }
    }
}
