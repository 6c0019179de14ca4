//! Whose bytes go next.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::link_budget::LinkBudget;
use crate::model::LinkRate;

/// How many bytes of a long message go at once. Less would cost a wake-up for each few kilobytes;
/// more would make a short answer wait behind it: these take 7 ms at 10 Mbit/s.
const PIECE: usize = 8 * 1024;

/// Names a long message that is being written; earlier ones have lower numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(u64);

/// Lets long messages use the link one after the other.
///
/// The one that began first is finished first: written in turns, all of them would be done as late
/// as the last. Short messages don't ask, but what they take is counted.
#[derive(Clone, Debug)]
pub struct LinkQueue {
    budget: LinkBudget,
    newest: u64,
    waiting: BTreeSet<MessageId>,
}

impl LinkQueue {
    /// Makes a queue for a link.
    pub fn new(rate: LinkRate) -> Self {
        Self {
            budget: LinkBudget::new(rate),
            newest: 0,
            waiting: BTreeSet::new(),
        }
    }

    /// Gives a long message its place.
    pub fn add(&mut self) -> MessageId {
        self.newest += 1;
        MessageId(self.newest)
    }

    /// Returns how many bytes of a message may be written now; none if it has to wait for its turn.
    pub fn request_write(&mut self, now: Moment, turn: MessageId) -> Option<usize> {
        self.waiting.insert(turn);
        let is_first = self.waiting.first() == Some(&turn);
        (is_first && self.budget.wait(now).is_none()).then_some(PIECE)
    }

    /// Counts bytes that were written, of long and short messages alike.
    pub fn record_written(&mut self, now: Moment, bytes: usize) {
        self.budget.record_written(now, bytes);
    }

    /// Takes a message out: it is written whole, given up, or its receiver takes no more for now. A
    /// slow receiver must not hold up the others.
    pub fn remove(&mut self, turn: MessageId) {
        self.waiting.remove(&turn);
    }

    /// Returns which message goes next, and how long until then.
    pub fn next(&mut self, now: Moment) -> Option<(MessageId, Duration)> {
        let first = *self.waiting.first()?;
        Some((first, self.budget.wait(now).unwrap_or_default()))
    }
}
