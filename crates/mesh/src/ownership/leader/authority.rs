//! The leader's authority to act, and when it ends.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::ownership::LeaseTimes;

/// Tracks what confirms a leadership: a majority of the voters that follow no later leader and, if
/// the record in the store allows it, reads of the store that show no later claim.
///
/// A leader that is cut off from both stops acting before a later one may grant its keys to others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Authority {
    /// When the newest call to the store was sent whose result confirmed this leadership.
    store_confirmed: Moment,
    /// The newest confirmation time that a majority of the voters has reached.
    majority_confirmed: Option<Moment>,
    /// Whether confirmation by the store alone suffices.
    store_suffices: bool,
    /// When the last lease that was granted on confirmation by the store alone can end.
    store_expiry: Moment,
}

impl Authority {
    /// Starts at the moment at which the append that established the leader was sent.
    pub(super) fn new(claimed_at: Moment) -> Self {
        Self {
            store_confirmed: claimed_at,
            majority_confirmed: None,
            store_suffices: true,
            store_expiry: Moment::default(),
        }
    }

    /// Creates the authority of a leader that takes over by handoff. It has no confirmation of its
    /// own yet, and confirmations by the voters count for `store_grace` from `written_after` on.
    pub(super) fn from_handoff(
        now: Moment,
        written_after: Moment,
        store_grace: Duration,
        times: &LeaseTimes,
    ) -> Self {
        let grace_used = times.store_grace.saturating_sub(store_grace);
        Self {
            store_confirmed: written_after.before(grace_used.max(times.lease)),
            majority_confirmed: None,
            store_suffices: false,
            // The leases that the previous leader granted are not known here.
            store_expiry: now + times.lease,
        }
    }

    /// Returns for how long confirmations by the voters still count without the store.
    pub(super) fn store_grace_left(&self, now: Moment, times: &LeaseTimes) -> Duration {
        self.store_grace_end(times).since(now)
    }

    /// Sets whether confirmation by the store alone suffices, according to every record of this
    /// leader that may be in the store.
    pub(super) fn set_store_suffices(
        &mut self,
        now: Moment,
        store_suffices: bool,
        times: &LeaseTimes,
    ) {
        self.store_suffices = store_suffices;
        if self.relies_on_store(now, times) {
            self.store_expiry = self.store_expiry.max(self.store_confirmed + times.lease);
        }
    }

    /// Tells whether a majority has confirmed the leadership recently.
    pub(super) fn has_majority(&self, now: Moment, times: &LeaseTimes) -> bool {
        self.majority_confirmed
            .is_some_and(|confirmed_at| now.since(confirmed_at) < times.leader_timeout)
    }

    /// Tells whether a leader that acts on the store alone may record that it needs a majority from
    /// now on: a successor that waits one lease after the majority's last confirmation has then
    /// waited for the end of all leases.
    pub(super) fn can_require_majority(&self, now: Moment, times: &LeaseTimes) -> bool {
        let covered = |confirmed_at: Moment| confirmed_at + times.lease >= self.store_expiry;
        self.has_majority(now, times) && self.majority_confirmed.is_some_and(covered)
    }

    fn relies_on_store(&self, now: Moment, times: &LeaseTimes) -> bool {
        self.store_suffices && !self.has_majority(now, times)
    }

    /// Records that a call to the store, sent at `sent_at`, confirmed this leadership.
    pub(super) fn confirm_by_store(&mut self, sent_at: Moment) {
        self.store_confirmed = self.store_confirmed.max(sent_at);
    }

    /// Records the newest confirmation time that a majority of the voters has reached.
    pub(super) fn confirm_by_majority(&mut self, confirmed_at: Option<Moment>) {
        self.majority_confirmed = confirmed_at;
    }

    /// Returns the newest moment at which the leadership is known to have been valid.
    pub(super) fn confirmed_at(&self, times: &LeaseTimes) -> Moment {
        let majority = self
            .majority_confirmed
            .filter(|confirmed_at| *confirmed_at < self.store_grace_end(times));
        majority.map_or(self.store_confirmed, |confirmed_at| {
            confirmed_at.max(self.store_confirmed)
        })
    }

    /// Returns how much longer the leader may act.
    pub(super) fn remaining(&self, now: Moment, times: &LeaseTimes) -> Duration {
        let relies = self.relies_on_store(now, times);
        let by_store = relies.then(|| self.store_confirmed + times.lease);
        let by_majority = self
            .majority_confirmed
            .map(|confirmed_at| confirmed_at + times.lease);
        let by_majority = by_majority.map(|end| end.min(self.store_grace_end(times)));
        let end = by_majority.max(by_store).unwrap_or_default();
        end.since(now).min(times.lease)
    }

    fn store_grace_end(&self, times: &LeaseTimes) -> Moment {
        self.store_confirmed + times.store_grace
    }
}
