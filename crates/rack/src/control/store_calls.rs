//! Calls of the control machine to the store.

use std::sync::Arc;

use quetzalrack_mesh::boundary::AppendOutcome;
use quetzalrack_mesh::boundary::KeyedRecord;
use quetzalrack_mesh::boundary::ReadOutcome;
use quetzalrack_mesh::boundary::SharedStore;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::LeaderRead;
use quetzalrack_mesh::ownership::LeaderRecord;
use quetzalrack_platform::store::LEADER_TOPIC;
use tokio::sync::mpsc;

use crate::clock;
use crate::metrics::Metrics;

/// Key of the leader record.
const LEADER_KEY: &str = "leader";

/// Calls the store and reports the outcomes as events.
#[derive(Clone)]
pub(super) struct StoreCalls {
    pub(super) store: Arc<dyn SharedStore>,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) metrics: Arc<Metrics>,
}

impl StoreCalls {
    /// Reads the newest leader record.
    pub(super) async fn read(self) {
        let started = clock::now();
        let read = match self.store.newest(LEADER_TOPIC).await {
            ReadOutcome::Records { records, end, .. } => {
                self.metrics.store_call("newest", "ok");
                self.decode(&records, end)
            }
            ReadOutcome::Expired | ReadOutcome::Unavailable => {
                self.metrics.store_call("newest", "failed");
                LeaderRead::Unavailable
            }
        };
        self.report(Event::LeaderRead(started, read));
    }

    /// Appends a leader record.
    pub(super) async fn write(self, end: u64, record: LeaderRecord) {
        let outcome = match record.encode() {
            Ok(value) => {
                let key = LEADER_KEY.to_owned();
                let record = KeyedRecord { key, value };
                self.store.append(LEADER_TOPIC, end, &record).await
            }
            Err(error) => {
                log::error!(event = "leader_record_not_written"; "{error}");
                AppendOutcome::Refused
            }
        };
        let label = match outcome {
            AppendOutcome::Appended => "ok",
            AppendOutcome::Superseded => "overtaken",
            AppendOutcome::Refused => "refused",
            AppendOutcome::Unknown => "unknown",
        };
        self.metrics.store_call("append", label);
        self.report(Event::LeaderWritten(outcome));
    }

    fn decode(&self, records: &[KeyedRecord], end: u64) -> LeaderRead {
        let record = records.iter().rev().find(|record| record.key == LEADER_KEY);
        match record
            .map(|record| LeaderRecord::decode(&record.value))
            .transpose()
        {
            Ok(record) => LeaderRead::Newest(record, end),
            Err(error) => {
                self.metrics.unreadable("leader_record");
                log::error!(event = "leader_record_unreadable", end = end; "{error}");
                LeaderRead::Unavailable
            }
        }
    }

    fn report(&self, event: Event) {
        // The receiver is dropped only when the process ends.
        self.events.send(event).ok();
    }
}
