//! A fake of the platform's log service.

use quetzalrack_core::boundary::LogEntry;
use quetzalrack_core::ids::Offset;
use quetzalrack_core::time::WallTime;

/// Keeps the control stream; it can be down, and can expire old records.
#[derive(Debug, Default)]
pub struct FakeLog {
    pub down: bool,
    pub entries: Vec<LogEntry>,
    pub oldest: u64,
}

impl FakeLog {
    pub fn append(&mut self, data: Vec<u8>) -> Offset {
        let offset = Offset(self.entries.len() as u64);
        self.entries.push(LogEntry {
            offset,
            taken: WallTime(0),
            data,
        });
        offset
    }

    /// Expires every record there is.
    pub fn expire_all(&mut self) {
        self.oldest = self.entries.len() as u64;
    }
}
