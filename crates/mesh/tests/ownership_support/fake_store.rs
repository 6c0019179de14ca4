//! A store with the leader's topic.

use quetzalrack_mesh::boundary::AppendOutcome;
use quetzalrack_mesh::ownership::LeaderRead;
use quetzalrack_mesh::ownership::LeaderRecord;

/// Keeps the records of the leader's topic.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    records: Vec<LeaderRecord>,
}

impl FakeStore {
    pub fn newest(&self) -> LeaderRead {
        LeaderRead::Newest(self.records.last().cloned(), self.records.len() as u64)
    }

    pub fn append(&mut self, end: u64, record: LeaderRecord) -> AppendOutcome {
        if end != self.records.len() as u64 {
            return AppendOutcome::Superseded;
        }
        self.records.push(record);
        AppendOutcome::Appended
    }
}
