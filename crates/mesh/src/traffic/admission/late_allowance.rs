//! How many late requests may wait for turns of a rate-limited server.

use std::time::Duration;

use quetzalrack_core::time::Moment;

/// How many may wait while nothing is known.
const FIRST_ALLOWED: f64 = 1.0;
/// How many may wait at most.
const MAX_ALLOWED: f64 = 256.0;
/// By how much the allowance rises with a turn that stayed unused.
const UNUSED_STEP: f64 = 4.0;
/// By how much it rises with a late request that gets a turn, and falls with one that has waited in vain.
const OUTCOME_STEP: f64 = 0.25;
/// By how much it rises in a second up to [`FIRST_ALLOWED`], so that one request tries again after a while.
const RECOVERY_RATE: f64 = 0.1;

/// Follows how many late requests are needed to use all turns.
///
/// Requests that can still be in time go first. While enough of them come, a late one waits in vain; while they come
/// in bunches, turns between two bunches stay unused if none waits.
#[derive(Clone, Debug)]
pub(super) struct LateAllowance {
    allowed: f64,
    recovered_at: Moment,
    /// Until when one of the requests that were turned away could have waited.
    turned_away_until: Moment,
    /// The turns before this have been looked at.
    looked_at: Moment,
}

impl Default for LateAllowance {
    fn default() -> Self {
        Self {
            allowed: FIRST_ALLOWED,
            recovered_at: Moment::default(),
            turned_away_until: Moment::default(),
            looked_at: Moment::default(),
        }
    }
}

impl LateAllowance {
    /// Returns whether one more may wait behind `waiting` others.
    pub(super) fn has_room(&mut self, now: Moment, waiting: usize) -> bool {
        let passed = now.since(self.recovered_at).as_secs_f64();
        self.recovered_at = self.recovered_at.max(now);
        if self.allowed < FIRST_ALLOWED {
            self.allowed = (self.allowed + passed * RECOVERY_RATE).min(FIRST_ALLOWED);
        }
        (waiting as f64) < self.allowed.floor()
    }

    /// Records a late request that was turned away, and could have waited until a moment.
    pub(super) fn record_turned_away(&mut self, until: Moment) {
        self.turned_away_until = self.turned_away_until.max(until);
    }

    /// Records that a late request has got its turn.
    pub(super) fn record_served(&mut self) {
        self.allowed = (self.allowed + OUTCOME_STEP).min(MAX_ALLOWED);
    }

    /// Records that a late request has waited in vain.
    pub(super) fn record_vain(&mut self) {
        self.allowed = (self.allowed - OUTCOME_STEP).max(0.0);
    }

    /// Records that nothing waits, while the next turn was due at `turn`.
    pub(super) fn record_idle(&mut self, now: Moment, turn: Moment, interval: Duration) {
        let from = turn.max(self.looked_at);
        let span = now.min(self.turned_away_until).since(from);
        let unused = (span.as_secs_f64() / interval.as_secs_f64()).floor();
        if unused >= 1.0 {
            self.looked_at = now;
            self.allowed = (self.allowed + unused * UNUSED_STEP).min(MAX_ALLOWED);
        }
    }
}
