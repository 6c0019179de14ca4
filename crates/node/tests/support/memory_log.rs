//! An in-memory log service.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::boundary::AppendOutcome;
use quetzalrack_core::boundary::BoxFuture;
use quetzalrack_core::boundary::LogEntry;
use quetzalrack_core::boundary::LogService;
use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::boundary::Stream;
use quetzalrack_core::ids::Offset;
use quetzalrack_core::time::WallTime;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Keeps every record; a test can make it unavailable.
#[derive(Debug, Default)]
pub struct MemoryLog {
    streams: Mutex<BTreeMap<Stream, Vec<LogEntry>>>,
    appended: Notify,
    down: AtomicBool,
}

impl MemoryLog {
    /// Sets whether the log service is down.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.appended.notify_waiters();
    }

    /// Appends a record as an operator would.
    pub fn put(&self, stream: &Stream, data: Vec<u8>) -> Offset {
        let mut streams = self.streams.lock().unwrap();
        let entries = streams.entry(stream.clone()).or_default();
        let offset = Offset(entries.len() as u64);
        entries.push(LogEntry {
            offset,
            taken: WallTime(1_700_000_000_000 + offset.0),
            data,
        });
        self.appended.notify_waiters();
        offset
    }

    /// Returns every record of a stream.
    pub fn records(&self, stream: &Stream) -> Vec<Vec<u8>> {
        let entries = self.read_now(stream, Offset(0));
        entries.into_iter().map(|entry| entry.data).collect()
    }

    fn read_now(&self, stream: &Stream, from: Offset) -> Vec<LogEntry> {
        let streams = self.streams.lock().unwrap();
        let entries = streams.get(stream).map(Vec::as_slice).unwrap_or_default();
        let start = usize::try_from(from.0).unwrap().min(entries.len());
        entries[start..].to_vec()
    }

    async fn read_waiting(&self, stream: &Stream, from: Offset, wait: Duration) -> ReadOutcome {
        let appended = self.appended.notified();
        let mut entries = self.read_now(stream, from);
        if entries.is_empty() && !self.down.load(Ordering::SeqCst) {
            let _ = timeout(wait, appended).await;
            entries = self.read_now(stream, from);
        }
        if self.down.load(Ordering::SeqCst) {
            return ReadOutcome::Unavailable;
        }
        let next = entries.last().map_or(from, |entry| entry.offset.next());
        ReadOutcome::Entries {
            entries,
            next,
            at_end: true,
        }
    }
}

impl LogService for MemoryLog {
    fn append<'a>(&'a self, stream: &'a Stream, data: Vec<u8>) -> BoxFuture<'a, AppendOutcome> {
        let outcome = match self.down.load(Ordering::SeqCst) {
            true => AppendOutcome::Refused,
            false => AppendOutcome::Appended(self.put(stream, data)),
        };
        Box::pin(async move { outcome })
    }

    fn read<'a>(
        &'a self,
        stream: &'a Stream,
        from: Offset,
        wait: Duration,
    ) -> BoxFuture<'a, ReadOutcome> {
        Box::pin(self.read_waiting(stream, from, wait))
    }
}
