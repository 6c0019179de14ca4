//! Until when a leader may act.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::ownership::LeaseTimes;

/// Follows what confirms a leadership: a majority of the voters who follow no later leader; and, if the
/// record in the store says so, reads of the store that show no later claim.
///
/// A leader that is cut off from both stops by itself before a later one may give its keys away.
#[derive(Clone, Copy, Debug)]
pub(super) struct Authority {
    /// When the newest question to the store was sent that was answered in this leader's favour.
    store: Moment,
    /// The same for a majority of the voters.
    majority: Option<Moment>,
    /// Whether the store's word alone is enough.
    alone: bool,
    /// Until when leases may last that were given on the store's word.
    store_used: Moment,
}

impl Authority {
    /// Starts from the moment at which the append that made the leader was sent.
    pub(super) fn new(claimed: Moment) -> Self {
        Self {
            store: claimed,
            majority: None,
            alone: true,
            store_used: Moment::default(),
        }
    }

    /// Starts a leader to whom the leadership was handed on: it has no authority of its own yet, and
    /// the voters' acknowledgements count for `storeless` from `written` on.
    pub(super) fn handed(
        now: Moment,
        written: Moment,
        storeless: Duration,
        times: &LeaseTimes,
    ) -> Self {
        let used = times.store_grace.saturating_sub(storeless);
        Self {
            store: written.before(used.max(times.lease)),
            majority: None,
            alone: false,
            // What the leader before gave is not known here.
            store_used: now + times.lease,
        }
    }

    /// Returns for how long the voters' acknowledgements still count without the store.
    pub(super) fn storeless_left(&self, now: Moment, times: &LeaseTimes) -> Duration {
        self.storeless_end(times).since(now)
    }

    /// Learns whether the store's word alone is enough, by every record of this leader that may stand
    /// in the store.
    pub(super) fn set_alone(&mut self, now: Moment, alone: bool, times: &LeaseTimes) {
        self.alone = alone;
        if self.rests_on_store(now, times) {
            self.store_used = self.store_used.max(self.store + times.lease);
        }
    }

    /// Tells whether a majority has confirmed the leadership lately.
    pub(super) fn has_majority(&self, now: Moment, times: &LeaseTimes) -> bool {
        self.majority
            .is_some_and(|stamp| now.since(stamp) < times.leader_timeout)
    }

    /// Tells whether a leader that acts alone may say that it needs a majority from now on: whoever
    /// waits a lease after the majority's last word has then waited for all leases.
    pub(super) fn can_join_majority(&self, now: Moment, times: &LeaseTimes) -> bool {
        let covered = |stamp: Moment| stamp + times.lease >= self.store_used;
        self.has_majority(now, times) && self.majority.is_some_and(covered)
    }

    fn rests_on_store(&self, now: Moment, times: &LeaseTimes) -> bool {
        self.alone && !self.has_majority(now, times)
    }

    /// Learns that a question which was sent at `asked` was answered in this leader's favour.
    pub(super) fn confirm_by_store(&mut self, asked: Moment) {
        self.store = self.store.max(asked);
    }

    /// Learns since when a majority has confirmed the leadership.
    pub(super) fn confirm_by_majority(&mut self, stamp: Option<Moment>) {
        self.majority = stamp;
    }

    /// Returns the newest moment at which the leadership is known to have held.
    pub(super) fn confirmed(&self, times: &LeaseTimes) -> Moment {
        let majority = self
            .majority
            .filter(|stamp| *stamp < self.storeless_end(times));
        majority.map_or(self.store, |stamp| stamp.max(self.store))
    }

    /// Returns how long the leader may act from now on.
    pub(super) fn left(&self, now: Moment, times: &LeaseTimes) -> Duration {
        let rests = self.rests_on_store(now, times);
        let by_store = rests.then(|| self.store + times.lease);
        let by_majority = self.majority.map(|stamp| stamp + times.lease);
        let by_majority = by_majority.map(|end| end.min(self.storeless_end(times)));
        let end = by_majority.max(by_store).unwrap_or_default();
        end.since(now).min(times.lease)
    }

    fn storeless_end(&self, times: &LeaseTimes) -> Moment {
        self.store + times.store_grace
    }
}
