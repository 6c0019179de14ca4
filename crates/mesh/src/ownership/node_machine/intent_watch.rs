//! When the operators' topic is read, and how old the word is by which a node serves.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use crate::ownership::IntentRead;

/// How long a read waits for news while another node confirms that there are none. Each read is a call
/// that is paid for.
const LONG_POLL: Duration = Duration::from_secs(6);
/// The same at the leader, by whose word all others go, and at a node that nobody confirms.
const SHORT_POLL: Duration = Duration::from_millis(1_000);
/// How much later than its wait a read may be answered: a store that is slower is asked without a wait.
const LATE: Duration = Duration::from_millis(500);
/// How old the newest confirmation may be until a node asks the store itself: the leader's short poll, its
/// answer and two beats.
const UNCONFIRMED: Duration = Duration::from_millis(2_000);
/// How long after a change the next read follows: operators write in quick succession now and then, and
/// one read brings all of it.
const AFTER_CHANGE: Duration = Duration::from_millis(200);
/// The shortest time from one read to the next, if a store does not wait.
const SHORTEST_TURN: Duration = Duration::from_millis(100);
/// How long after a failed read the next one follows at first.
const AFTER_FAILURE: Duration = Duration::from_millis(250);
/// The longest such pause at a node on which others rely, or that nobody tells of news.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The longest such pause at a node that hears a leader, which asks more often.
const LONGEST_FOLLOWING: Duration = Duration::from_millis(2_000);

/// Decides when the operators' topic is read.
///
/// A read that waits for news looks the same whether there are none or the store is away. So no word
/// rests on a waiting read alone: the leader asks every second and tells the others how old its word is,
/// whoever is not confirmed in time asks itself, and after anything that went wrong the next read does not
/// wait.
#[derive(Clone, Debug, Default)]
pub(super) struct IntentWatch {
    /// Everything that was acknowledged up to this moment is known here.
    confirmed: Moment,
    reading: Option<Reading>,
    due: Moment,
    pause: Duration,
    /// Whether the next read is to return at once.
    doubtful: bool,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    begun: Moment,
    wait: Duration,
}

/// Says on whom a node can rely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reliance {
    /// It leads: others rely on it.
    Leads,
    /// It hears a leader.
    Follows,
    /// It hears nobody.
    Nobody,
}

impl IntentWatch {
    /// Returns for how long the read that is to be begun now may wait, if one is. One that is on its way is
    /// given up for it.
    pub(super) fn step(&mut self, now: Moment, reliance: Reliance) -> Option<Duration> {
        let quick = reliance == Reliance::Leads || now.since(self.confirmed) >= UNCONFIRMED;
        if let Some(reading) = self.reading {
            let wait = match quick {
                true => reading.wait.min(SHORT_POLL),
                false => reading.wait,
            };
            // One that does not wait ends by itself, by the patience of whoever carries it out.
            if reading.wait.is_zero() || now < reading.begun + wait + LATE {
                return None;
            }
            self.doubtful = true;
        } else if now < self.due {
            return None;
        }
        let wait = match (self.doubtful, quick) {
            (true, _) => Duration::ZERO,
            (false, true) => SHORT_POLL,
            (false, false) => LONG_POLL,
        };
        self.reading = Some(Reading { begun: now, wait });
        Some(wait)
    }

    /// Learns how a read has ended.
    pub(super) fn ended(&mut self, now: Moment, read: IntentRead, reliance: Reliance) {
        // A read that was given up may have ended just then; it proves what it proves.
        let wait = self
            .reading
            .take()
            .map_or(Duration::ZERO, |reading| reading.wait);
        match read {
            IntentRead::NoNews { begun } => {
                self.confirm((begun + wait).min(now));
                self.pause = Duration::ZERO;
                self.doubtful = false;
                self.due = now.max(begun + SHORTEST_TURN);
            }
            IntentRead::News { begun } => {
                self.confirm(begun);
                self.pause = Duration::ZERO;
                self.doubtful = false;
                self.due = now + AFTER_CHANGE;
            }
            IntentRead::Failed => {
                let longest = match reliance {
                    Reliance::Follows => LONGEST_FOLLOWING,
                    Reliance::Leads | Reliance::Nobody => LONGEST_PAUSE,
                };
                self.pause = (self.pause * 2).clamp(AFTER_FAILURE, longest);
                self.doubtful = true;
                self.due = now + self.pause;
            }
        }
    }

    /// Learns that all is known that was acknowledged up to a moment.
    pub(super) fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Returns up to when all that was acknowledged is known.
    pub(super) fn confirmed(&self) -> Moment {
        self.confirmed
    }
}
