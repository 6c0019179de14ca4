//! All keys of one service.

use super::row::Row;
use super::row::RowState;
use crate::model::KeyRange;

/// Keeps one row for each range of keys; together they cover every key once.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    rows: Vec<Row>,
}

impl Ledger {
    /// Starts with one row for all keys.
    pub(super) fn new(state: RowState) -> Self {
        let keys = KeyRange::ALL;
        Self {
            rows: vec![Row { keys, state }],
        }
    }

    pub(super) fn rows(&self) -> &[Row] {
        &self.rows
    }

    pub(super) fn rows_mut(&mut self) -> impl Iterator<Item = &mut Row> {
        self.rows.iter_mut()
    }

    /// Sets the state of a range, splitting rows at its ends.
    pub(super) fn set(&mut self, keys: KeyRange, state: RowState) {
        self.split_before(keys.first);
        if let Some(after) = keys.last.checked_add(1) {
            self.split_before(after);
        }
        for row in &mut self.rows {
            if keys.common(&row.keys).is_some() {
                row.state = state.clone();
            }
        }
        self.merge();
    }

    /// Joins neighbours of the same state, so that the number of rows follows the number of owners.
    pub(super) fn merge(&mut self) {
        self.rows.dedup_by(|next, row| {
            let same = row.state == next.state;
            if same {
                row.keys.last = next.keys.last;
            }
            same
        });
    }

    fn split_before(&mut self, key: u16) {
        let at = self.rows.partition_point(|row| row.keys.last < key);
        let Some(row) = self.rows.get_mut(at) else {
            return;
        };
        if row.keys.first >= key {
            return;
        }
        let mut rest = row.clone();
        row.keys.last = key - 1;
        rest.keys.first = key;
        self.rows.insert(at + 1, rest);
    }
}
