//! Versions of the table of owners.

use std::collections::VecDeque;

use crate::ownership::OwnedRange;
use crate::ownership::OwnersUpdate;

/// The number of changes kept for nodes that are behind. With a heartbeat every 0.4 s a node misses
/// a few at most, even while keys move several times a second.
const MAX_CHANGES: usize = 64;

/// The owners of all keys, and the latest changes.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnersLog {
    version: u64,
    ranges: Vec<OwnedRange>,
    /// The changes that led to each of the latest versions.
    changes: VecDeque<(u64, Vec<OwnedRange>)>,
}

impl OwnersLog {
    /// Sets the current owners.
    pub(super) fn set(&mut self, ranges: Vec<OwnedRange>) {
        if ranges == self.ranges {
            return;
        }
        // Removed ranges come first, so that the new ones are applied on top of them.
        let removed = self.ranges.iter().filter(|old| !ranges.contains(old));
        let removed = removed.map(|old| OwnedRange {
            node: None,
            ..old.clone()
        });
        let new = ranges.iter().filter(|new| !self.ranges.contains(new));
        let change: Vec<OwnedRange> = removed.chain(new.cloned()).collect();
        self.version += 1;
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((self.version, change));
        self.ranges = ranges;
    }

    /// Returns the changes that a node with this version lacks, if any.
    pub(super) fn since(&self, version: u64) -> Option<OwnersUpdate> {
        if version == self.version {
            return None;
        }
        let known = self
            .changes
            .front()
            .is_some_and(|(first, _)| *first <= version + 1);
        let missed = self
            .changes
            .iter()
            .filter(|(change_version, _)| *change_version > version);
        let missed: Vec<OwnedRange> = missed.flat_map(|(_, change)| change.clone()).collect();
        let full = version == 0 || version > self.version || !known;
        let full = full || missed.len() >= self.ranges.len();
        Some(OwnersUpdate {
            version: self.version,
            full,
            ranges: match full {
                true => self.ranges.clone(),
                false => missed,
            },
        })
    }
}
