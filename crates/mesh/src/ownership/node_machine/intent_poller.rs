//! The schedule of reads of the operators' topic, and how up to date the known intent is.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::ownership::IntentRead;

/// How long a read waits for new records while another node confirms that there are none. Every read is
/// a call that is billed.
const LONG_POLL: Duration = Duration::from_secs(6);
/// The same at the leader, on whose confirmation the other nodes rely, and at a node that gets no
/// confirmation.
const SHORT_POLL: Duration = Duration::from_millis(1_000);
/// How long after its wait a read may still end. If the store takes longer, the next read does not wait.
const READ_GRACE: Duration = Duration::from_millis(500);
/// The age of the newest confirmation from which on a node polls the store itself: the leader's short
/// poll, its response, and two node heartbeats.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_000);
/// The time from a change to the next read. Operators sometimes write in quick succession, and one read
/// then returns all records.
const PAUSE_AFTER_CHANGE: Duration = Duration::from_millis(200);
/// The shortest time from the start of one read to the next, for a store that does not wait.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after the first failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// The longest pause after failed reads at the leader, and at a node without contact to a leader.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The longest pause after failed reads at a follower, whose leader reads more often.
const MAX_FOLLOWER_BACKOFF: Duration = Duration::from_millis(2_000);

/// Decides when the operators' topic is read.
///
/// While a read waits for new records, an unreachable store looks the same as one without new records. So
/// no node relies on a waiting read alone. The leader polls every second and tells the others how old its
/// knowledge is, a node without a recent confirmation polls the store itself, and after a failure the
/// next read does not wait.
#[derive(Clone, Debug, Default)]
pub(super) struct IntentPoller {
    /// Every change acknowledged up to this moment is known.
    confirmed: Moment,
    pending: Option<PendingRead>,
    next_read: Moment,
    backoff: Duration,
    /// Whether the next read is to return at once.
    skip_wait: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    begun: Moment,
    wait: Duration,
}

/// A node's contact to a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaderContact {
    /// The node leads, and the other nodes rely on it.
    Leading,
    /// A leader replies to the node.
    Following,
    /// No leader replies to the node.
    Lost,
}

impl IntentPoller {
    /// Returns how long the store may wait in a read that is to begin now; none if no read is due. A pending
    /// read is abandoned for it.
    pub(super) fn poll(&mut self, now: Moment, contact: LeaderContact) -> Option<Duration> {
        let short =
            contact == LeaderContact::Leading || now.since(self.confirmed) >= MAX_CONFIRMATION_AGE;
        if let Some(pending) = self.pending {
            let wait = match short {
                true => pending.wait.min(SHORT_POLL),
                false => pending.wait,
            };
            // A read that does not wait ends by the time limit of the caller that carries it out.
            if pending.wait.is_zero() || now < pending.begun + wait + READ_GRACE {
                return None;
            }
            self.skip_wait = true;
        } else if now < self.next_read {
            return None;
        }
        let wait = match (self.skip_wait, short) {
            (true, _) => Duration::ZERO,
            (false, true) => SHORT_POLL,
            (false, false) => LONG_POLL,
        };
        self.pending = Some(PendingRead { begun: now, wait });
        Some(wait)
    }

    /// Handles the end of a read.
    pub(super) fn handle_read(&mut self, now: Moment, read: IntentRead, contact: LeaderContact) {
        // An abandoned read may have ended at the same moment; its result is valid all the same.
        let wait = self
            .pending
            .take()
            .map_or(Duration::ZERO, |pending| pending.wait);
        match read {
            IntentRead::Unchanged { begun } => {
                self.confirm((begun + wait).min(now));
                self.backoff = Duration::ZERO;
                self.skip_wait = false;
                self.next_read = now.max(begun + MIN_READ_INTERVAL);
            }
            IntentRead::Changed { begun } => {
                self.confirm(begun);
                self.backoff = Duration::ZERO;
                self.skip_wait = false;
                self.next_read = now + PAUSE_AFTER_CHANGE;
            }
            IntentRead::Failed => {
                let longest = match contact {
                    LeaderContact::Following => MAX_FOLLOWER_BACKOFF,
                    LeaderContact::Leading | LeaderContact::Lost => MAX_BACKOFF,
                };
                self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, longest);
                self.skip_wait = true;
                self.next_read = now + self.backoff;
            }
        }
    }

    /// Records that every change acknowledged up to `at` is known.
    pub(super) fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Returns the moment up to which every acknowledged change is known.
    pub(super) fn confirmed(&self) -> Moment {
        self.confirmed
    }
}
