//! The key ranges of one service.

use super::range_entry::RangeEntry;
use super::range_entry::RangeState;
use crate::model::KeyRange;

/// Divides the keys into ranges; every key belongs to exactly one entry.
#[derive(Clone, Debug)]
pub(super) struct RangeMap {
    entries: Vec<RangeEntry>,
}

impl RangeMap {
    /// Starts with one entry for all keys.
    pub(super) fn new(state: RangeState) -> Self {
        let keys = KeyRange::ALL;
        Self {
            entries: vec![RangeEntry { keys, state }],
        }
    }

    pub(super) fn entries(&self) -> &[RangeEntry] {
        &self.entries
    }

    pub(super) fn entries_mut(&mut self) -> impl Iterator<Item = &mut RangeEntry> {
        self.entries.iter_mut()
    }

    /// Sets the state of a range, splitting entries at its ends.
    pub(super) fn set(&mut self, keys: KeyRange, state: RangeState) {
        self.split_before(keys.first);
        if let Some(after) = keys.last.checked_add(1) {
            self.split_before(after);
        }
        for entry in &mut self.entries {
            if keys.common(&entry.keys).is_some() {
                entry.state = state.clone();
            }
        }
        self.merge_adjacent();
    }

    /// Merges adjacent entries of equal state, so that the number of entries follows the number of
    /// owners.
    pub(super) fn merge_adjacent(&mut self) {
        self.entries.dedup_by(|following, entry| {
            let same = entry.state == following.state;
            if same {
                entry.keys.last = following.keys.last;
            }
            same
        });
    }

    fn split_before(&mut self, key: u16) {
        let index = self.entries.partition_point(|entry| entry.keys.last < key);
        let Some(entry) = self.entries.get_mut(index) else {
            return;
        };
        if entry.keys.first >= key {
            return;
        }
        let mut rest = entry.clone();
        entry.keys.last = key - 1;
        rest.keys.first = key;
        self.entries.insert(index + 1, rest);
    }
}
