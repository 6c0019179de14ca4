//! How the latest requests ended, as signs of a cold start.

use std::collections::VecDeque;
use std::time::Duration;

use super::AttemptOutcome;
use super::baseline_latency::FAR_SLOWER;
use crate::time::Moment;

/// How many of the latest ends are looked at.
const KEPT: usize = 8;
/// How many of them must be far slower than usual.
const SLOW: usize = 6;
/// How long the signs of an unannounced cold start are remembered.
const WINDOW: Duration = Duration::from_secs(1);
/// How many requests must have been turned away, lost or failed within that time.
const DISTRESSED: usize = 3;

/// Remembers how the latest requests ended.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentOutcomes {
    ends: VecDeque<Sign>,
}

#[derive(Clone, Copy, Debug)]
struct Sign {
    at: Moment,
    distress: bool,
    refused: bool,
    /// How many times the usual latency of its route it took.
    ratio: f64,
}

impl RecentOutcomes {
    /// Remembers an end; one that was given up says nothing.
    pub(super) fn remember(&mut self, now: Moment, end: AttemptOutcome, ratio: f64) {
        if end == AttemptOutcome::Abandoned {
            return;
        }
        if self.ends.len() == KEPT {
            self.ends.pop_front();
        }
        let refused = matches!(
            end,
            AttemptOutcome::Shed | AttemptOutcome::Lost | AttemptOutcome::Unreachable
        );
        self.ends.push_back(Sign {
            at: now,
            distress: !matches!(end, AttemptOutcome::Answered(_)),
            refused,
            ratio,
        });
    }

    pub(super) fn clear(&mut self) {
        self.ends.clear();
    }

    /// Tells whether most of the latest answers were far slower than usual.
    pub(super) fn look_slow(&self) -> bool {
        let slow = self.ends.iter().filter(|sign| sign.ratio >= FAR_SLOWER);
        slow.count() >= SLOW
    }

    /// Tells whether requests are turned away or lost, or fail and are slow, as by a backend
    /// server that is cold.
    pub(super) fn look_cold(&self, now: Moment) -> bool {
        let recent: Vec<&Sign> = self
            .ends
            .iter()
            .filter(|sign| now.since(sign.at) <= WINDOW)
            .collect();
        let distress = recent.iter().filter(|sign| sign.distress).count();
        let refused = recent.iter().filter(|sign| sign.refused).count();
        if distress < DISTRESSED || distress * 2 < recent.len() {
            return false;
        }
        let slowest = recent.iter().map(|sign| sign.ratio).fold(0.0, f64::max);
        refused * 2 >= distress || slowest >= FAR_SLOWER
    }
}
