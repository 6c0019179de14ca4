//! The log service's state.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde_json::value::RawValue;
use tokio::sync::Notify;

use super::AppendRefusal;
use super::LogFaults;
use super::LogSettings;
use super::LogTruth;
use super::RateBound;
use super::ReadResult;
use super::StreamLog;
use super::StreamTruth;
use crate::process::wall_us;

const SECOND_US: u64 = 1_000_000;

/// Is the state that all calls share.
#[derive(Debug)]
pub struct LogState {
    settings: LogSettings,
    kept: Mutex<Kept>,
    grown: Notify,
}

#[derive(Debug)]
struct Kept {
    streams: BTreeMap<String, StreamLog>,
    faults: LogFaults,
    bound: RateBound,
    truth: LogTruth,
    second: u64,
    in_second: u64,
}

impl LogState {
    /// Makes an empty log.
    pub fn new(settings: LogSettings) -> Self {
        let kept = Kept {
            streams: BTreeMap::new(),
            faults: LogFaults::default(),
            bound: RateBound::new(settings.appends_per_second, wall_us()),
            truth: LogTruth::default(),
            second: 0,
            in_second: 0,
        };
        Self {
            settings,
            kept: Mutex::new(kept),
            grown: Notify::new(),
        }
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> LogFaults {
        self.kept.lock().faults
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.kept.lock().faults = faults;
        self.grown.notify_waiters();
    }

    /// Appends a record; the flag tells whether the answer is to be lost.
    pub fn append(&self, stream: &str, data: Box<RawValue>) -> Result<(u64, bool), AppendRefusal> {
        let now_us = wall_us();
        let mut kept = self.kept.lock();
        if kept.faults.down || kept.faults.refuse {
            kept.truth.refused += 1;
            return Err(AppendRefusal::Down);
        }
        if !kept.bound.admit(now_us) {
            kept.truth.over_rate += 1;
            return Err(AppendRefusal::OverRate);
        }
        kept.count(data.get().len(), now_us);
        let log = kept.streams.entry(stream.to_owned()).or_default();
        let offset = log.append(data, now_us);
        let lost = kept.faults.lose_answers > 0;
        if lost {
            kept.faults.lose_answers -= 1;
            kept.truth.answers_lost += 1;
        }
        drop(kept);
        self.grown.notify_waiters();
        Ok((offset, lost))
    }

    /// Reads a stream.
    pub fn read(&self, stream: &str, from: u64, limit: usize) -> ReadResult {
        let oldest_us = self.settings.keep_ms.map_or(0, |keep| {
            wall_us().saturating_sub(u64::from(keep.0) * 1_000)
        });
        let mut kept = self.kept.lock();
        kept.truth.reads += 1;
        let log = kept.streams.entry(stream.to_owned()).or_default();
        log.expire(self.settings.keep_records, oldest_us);
        log.read(from, limit)
    }

    /// Resolves when some stream may have grown or the faults have changed.
    pub fn grown(&self) -> tokio::sync::futures::Notified<'_> {
        self.grown.notified()
    }

    /// Returns what the service truly did.
    pub fn truth(&self) -> LogTruth {
        let kept = self.kept.lock();
        let streams = kept
            .streams
            .iter()
            .map(|(name, log)| StreamTruth {
                stream: name.clone(),
                oldest: log.oldest_offset(),
                next: log.next_offset(),
            })
            .collect();
        LogTruth {
            streams,
            ..kept.truth.clone()
        }
    }
}

impl Kept {
    fn count(&mut self, bytes: usize, now_us: u64) {
        let second = now_us / SECOND_US;
        if second != self.second {
            self.second = second;
            self.in_second = 0;
        }
        self.in_second += 1;
        self.truth.appends += 1;
        self.truth.appended_bytes += bytes as u64;
        self.truth.most_per_second = self.truth.most_per_second.max(self.in_second);
    }
}
