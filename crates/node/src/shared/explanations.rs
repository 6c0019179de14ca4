//! A bounded log of what the node did and why.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use quetzalrack_core::explain::Explanation;

/// Maximum number of entries; the oldest one is dropped for a new one.
const MAX_ENTRIES: usize = 1024;

/// Keeps the newest explanations of the control and traffic threads.
///
/// The lock is held for one push or one copy, never across I/O.
#[derive(Debug, Default)]
pub struct Explanations {
    entries: Mutex<VecDeque<Explanation>>,
}

impl Explanations {
    /// Adds an explanation, dropping the oldest one when the capacity is reached.
    pub fn record(&self, explanation: Explanation) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() == MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(explanation);
    }

    /// Returns copies of the newest `limit` entries that `matches` accepts, oldest first.
    pub fn newest<F>(&self, limit: usize, matches: F) -> Vec<Explanation>
    where
        F: Fn(&Explanation) -> bool,
    {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let mut found: Vec<_> = entries
            .iter()
            .rev()
            .filter(|entry| matches(entry))
            .take(limit)
            .cloned()
            .collect();
        found.reverse();
        found
    }
}
