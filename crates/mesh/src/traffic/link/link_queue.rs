//! The order in which messages are written to the link.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::link_budget::LinkBudget;
use crate::model::LinkRate;

/// How many bytes of a long message are written at once. Less would cost a wake-up for every few
/// kilobytes; more would make short responses wait longer: these take 7 ms at 10 Mbit/s.
const CHUNK_BYTES: usize = 8 * 1024;

/// Identifies a long message that is being written; earlier messages have lower numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MessageId(u64);

/// Lets long messages use the link one after the other, in the order in which they were added.
///
/// Written in alternation, all of them would complete as late as the last. Short messages don't
/// wait in the queue, but their bytes are counted.
#[derive(Clone, Debug)]
pub struct LinkQueue {
    budget: LinkBudget,
    last_id: u64,
    waiting: BTreeSet<MessageId>,
}

impl LinkQueue {
    /// Creates a queue for a link.
    pub fn new(rate: LinkRate) -> Self {
        Self {
            budget: LinkBudget::new(rate),
            last_id: 0,
            waiting: BTreeSet::new(),
        }
    }

    /// Assigns an id to a long message, which determines its position.
    pub fn add(&mut self) -> MessageId {
        self.last_id += 1;
        MessageId(self.last_id)
    }

    /// Returns how many bytes of a message may be written now; none if it has to wait for its turn.
    pub fn request_write(&mut self, now: Moment, id: MessageId) -> Option<usize> {
        self.waiting.insert(id);
        let is_first = self.waiting.first() == Some(&id);
        (is_first && self.budget.wait(now).is_none()).then_some(CHUNK_BYTES)
    }

    /// Counts bytes that were written, of long and short messages alike.
    pub fn record_written(&mut self, now: Moment, bytes: usize) {
        self.budget.record_written(now, bytes);
    }

    /// Removes a message that is complete, abandoned, or whose receiver accepts no more bytes for
    /// now: a slow receiver must not delay the others.
    pub fn remove(&mut self, id: MessageId) {
        self.waiting.remove(&id);
    }

    /// Returns which message goes next, and how long until then.
    pub fn next(&mut self, now: Moment) -> Option<(MessageId, Duration)> {
        let first = *self.waiting.first()?;
        Some((first, self.budget.wait(now).unwrap_or_default()))
    }
}
