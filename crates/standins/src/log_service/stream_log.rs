//! One stream.

use std::collections::VecDeque;

use serde_json::value::RawValue;

use super::LogEntryView;
use super::ReadResult;
use super::StoredRecord;

/// Keeps one stream's newest records.
#[derive(Clone, Debug, Default)]
pub struct StreamLog {
    records: VecDeque<StoredRecord>,
    oldest: u64,
}

impl StreamLog {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, data: Box<RawValue>, taken_us: u64) -> u64 {
        self.records.push_back(StoredRecord { taken_us, data });
        self.next_offset() - 1
    }

    /// Drops what retention no longer keeps.
    pub fn expire(&mut self, keep_records: usize, oldest_us: u64) {
        while self.records.len() > keep_records
            || self.records.front().is_some_and(|r| r.taken_us < oldest_us)
        {
            self.records.pop_front();
            self.oldest += 1;
        }
    }

    /// Reads up to `limit` records from an offset on.
    pub fn read(&self, from: u64, limit: usize) -> ReadResult {
        if from < self.oldest {
            return ReadResult::Expired {
                oldest: self.oldest,
            };
        }
        let skipped = usize::try_from(from - self.oldest).unwrap_or(usize::MAX);
        let entries: Vec<LogEntryView> = (from..)
            .zip(self.records.iter().skip(skipped).take(limit))
            .map(|(offset, record)| LogEntryView {
                offset,
                taken_ms: record.taken_us / 1_000,
                data: record.data.clone(),
            })
            .collect();
        let next = from + entries.len() as u64;
        ReadResult::Entries {
            entries,
            next,
            at_end: next >= self.next_offset(),
        }
    }

    /// Returns the oldest offset kept.
    pub fn oldest_offset(&self) -> u64 {
        self.oldest
    }

    /// Returns the offset that the next record gets.
    pub fn next_offset(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }
}
