//! The contents that servers have answered lately.

use std::collections::HashSet;

use super::ContentDigest;

/// How many contents are remembered at least; at most twice as many.
const MIN_KEPT: usize = 2_048;

/// Remembers which contents were answered. What is asked for often stays remembered.
#[derive(Clone, Debug, Default)]
pub struct AnsweredContents {
    newer: HashSet<ContentDigest>,
    older: HashSet<ContentDigest>,
}

impl AnsweredContents {
    /// Records that a server answered a request of a content.
    pub fn insert(&mut self, content: ContentDigest) {
        if self.newer.len() >= MIN_KEPT {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(content);
    }

    /// Returns whether a request of a content was answered lately.
    pub fn contains(&self, content: &ContentDigest) -> bool {
        self.newer.contains(content) || self.older.contains(content)
    }
}
