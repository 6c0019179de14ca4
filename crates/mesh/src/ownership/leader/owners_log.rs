//! The versions of the table of owners.

use std::collections::VecDeque;

use crate::ownership::OwnedRange;
use crate::ownership::OwnersUpdate;

/// How many changes are kept for nodes that are behind; a beat every 0.4 s misses a few at most, also
/// while keys move several times a second.
const KEPT: usize = 64;

/// Keeps who owns which keys, and what changed lately.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnersLog {
    version: u64,
    ranges: Vec<OwnedRange>,
    /// The changes that made each of the last versions.
    changes: VecDeque<(u64, Vec<OwnedRange>)>,
}

impl OwnersLog {
    /// Takes over the owners as they are now.
    pub(super) fn set(&mut self, ranges: Vec<OwnedRange>) {
        if ranges == self.ranges {
            return;
        }
        // What was there and is not makes way first; what is new is laid over that.
        let gone = self.ranges.iter().filter(|old| !ranges.contains(old));
        let gone = gone.map(|old| OwnedRange {
            node: None,
            ..old.clone()
        });
        let new = ranges.iter().filter(|new| !self.ranges.contains(new));
        let change: Vec<OwnedRange> = gone.chain(new.cloned()).collect();
        self.version += 1;
        if self.changes.len() == KEPT {
            self.changes.pop_front();
        }
        self.changes.push_back((self.version, change));
        self.ranges = ranges;
    }

    /// Returns what a node with this version lacks, if anything.
    pub(super) fn since(&self, version: u64) -> Option<OwnersUpdate> {
        if version == self.version {
            return None;
        }
        let known = self
            .changes
            .front()
            .is_some_and(|(first, _)| *first <= version + 1);
        let missed = self.changes.iter().filter(|(made, _)| *made > version);
        let missed: Vec<OwnedRange> = missed.flat_map(|(_, change)| change.clone()).collect();
        let whole = version == 0 || version > self.version || !known;
        let whole = whole || missed.len() >= self.ranges.len();
        Some(OwnersUpdate {
            version: self.version,
            full: whole,
            ranges: match whole {
                true => self.ranges.clone(),
                false => missed,
            },
        })
    }
}
