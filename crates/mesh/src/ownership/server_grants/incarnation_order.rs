//! The order of the incarnations of a host's backend server.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::model::ServerHeartbeat;
use crate::model::ServerIncarnation;

/// How far two readings of the host's clocks may differ without a step of the time of day.
const CLOCK_TOLERANCE_MS: u64 = 20;
/// How far ahead of the host's time of day a start time may be, as both are read in turn.
const MAX_AHEAD_MS: u64 = 1_000;
/// How long an incarnation must be silent until one may succeed it whose start time the order of starts does
/// not explain.
const SUCCESSOR_SILENCE: Duration = Duration::from_millis(2_500);
/// For how long an incarnation with an earlier start time must send heartbeats to count as running although
/// no step of the clock explains its start time. Heartbeats on their way from one that has ended run out.
const PROOF_TIME: Duration = Duration::from_secs(30);
/// The longest pause between two of those heartbeats.
const PROOF_PAUSE: Duration = Duration::from_millis(2_700);

/// Tells heartbeats of the running incarnation, and of the next, from those of an earlier one that come late.
///
/// A host runs one incarnation of its server at a time, and each names its start time. A later start time so
/// belongs to a later incarnation, unless the host's clock was set back in between.
#[derive(Clone, Debug, Default)]
pub(super) struct IncarnationOrder {
    clock: Option<HostClock>,
    /// By how many milliseconds the host's clock was set back while this process ran.
    set_back_ms: u64,
    latest: Option<LatestStart>,
    candidate: Option<Candidate>,
    /// The incarnation that has succeeded one with a later start time.
    proven: Option<ServerIncarnation>,
}

#[derive(Clone, Copy, Debug)]
struct HostClock {
    unix_ms: u64,
    read_at: Moment,
}

/// The latest start time of an incarnation that has not been succeeded.
#[derive(Clone, Debug)]
struct LatestStart {
    started_ms: u64,
    /// `set_back_ms` when it became known.
    set_back_ms: u64,
}

/// An incarnation with an earlier start time that sends heartbeats.
#[derive(Clone, Debug)]
struct Candidate {
    incarnation: ServerIncarnation,
    sequence: u64,
    since: Moment,
    heard_at: Moment,
}

impl HostClock {
    fn unix_ms(&self, now: Moment) -> u64 {
        let passed = u64::try_from(now.since(self.read_at).as_millis()).unwrap_or(u64::MAX);
        self.unix_ms.saturating_add(passed)
    }
}

impl IncarnationOrder {
    /// Records a reading of the host's time of day.
    pub(super) fn record_clock(&mut self, now: Moment, unix_ms: u64) {
        if let Some(clock) = &self.clock {
            let set_back_ms = clock.unix_ms(now).saturating_sub(unix_ms);
            if set_back_ms > CLOCK_TOLERANCE_MS {
                self.set_back_ms = self.set_back_ms.saturating_add(set_back_ms);
            }
        }
        self.clock = Some(HostClock {
            unix_ms,
            read_at: now,
        });
    }

    /// Returns the time of day in Unix milliseconds, if it was ever read.
    pub(super) fn unix_time(&self, now: Moment) -> Option<u64> {
        self.clock.map(|clock| clock.unix_ms(now))
    }

    /// Records that an incarnation has started.
    pub(super) fn record_start(&mut self, incarnation: &ServerIncarnation) {
        let started_ms = incarnation.started_ms;
        let latest = self.latest.as_ref();
        if latest.is_none_or(|latest| latest.started_ms < started_ms) {
            self.latest = Some(LatestStart {
                started_ms,
                set_back_ms: self.set_back_ms,
            });
        }
    }

    /// Tells whether an incarnation claims to start later than now. That says nothing of what came after what;
    /// the host's clock was set back, or another writer made it up.
    pub(super) fn is_future(&self, now: Moment, incarnation: &ServerIncarnation) -> bool {
        let latest_ms = |unix_ms: u64| unix_ms.saturating_add(MAX_AHEAD_MS);
        self.unix_time(now)
            .is_some_and(|unix_ms| incarnation.started_ms > latest_ms(unix_ms))
    }

    /// Tells whether a heartbeat of an incarnation that is not the current one comes from an earlier one.
    /// `silent_since` is when the current one was last heard.
    pub(super) fn is_earlier(
        &mut self,
        now: Moment,
        heartbeat: &ServerHeartbeat,
        silent_since: Option<Moment>,
    ) -> bool {
        let incarnation = &heartbeat.incarnation;
        let is_silent = silent_since.is_none_or(|since| now.since(since) >= SUCCESSOR_SILENCE);
        if self.is_future(now, incarnation) && !is_silent {
            return true;
        }
        let Some(latest) = &self.latest else {
            return false;
        };
        if incarnation.started_ms >= latest.started_ms {
            return false;
        }
        let set_back_ms = self.set_back_ms - latest.set_back_ms;
        let is_explained = incarnation.started_ms.saturating_add(set_back_ms) > latest.started_ms;
        let is_successor =
            (is_explained && is_silent) || self.is_proven_by(now, heartbeat, silent_since);
        if !is_successor {
            return true;
        }
        self.latest = Some(LatestStart {
            started_ms: incarnation.started_ms,
            set_back_ms: self.set_back_ms,
        });
        self.candidate = None;
        self.proven = Some(incarnation.clone());
        false
    }

    /// Tells whether an incarnation has succeeded one with a later start time.
    pub(super) fn is_proven(&self, incarnation: &ServerIncarnation) -> bool {
        self.proven.as_ref() == Some(incarnation)
    }

    /// Forgets that an incarnation has succeeded one with a later start time, as it has left too.
    pub(super) fn forget_proof(&mut self, incarnation: &ServerIncarnation) {
        self.proven.take_if(|proven| proven == incarnation);
    }

    /// Tells whether an incarnation has sent heartbeats for so long that it must be running.
    fn is_proven_by(
        &mut self,
        now: Moment,
        heartbeat: &ServerHeartbeat,
        silent_since: Option<Moment>,
    ) -> bool {
        let candidate = self.candidate.take().filter(|candidate| {
            candidate.incarnation == heartbeat.incarnation
                && candidate.sequence < heartbeat.sequence
                && now.since(candidate.heard_at) <= PROOF_PAUSE
                && silent_since.is_none_or(|since| since < candidate.since)
        });
        let since = candidate.map_or(now, |candidate| candidate.since);
        self.candidate = Some(Candidate {
            incarnation: heartbeat.incarnation.clone(),
            sequence: heartbeat.sequence,
            since,
            heard_at: now,
        });
        now.since(since) >= PROOF_TIME
    }
}
