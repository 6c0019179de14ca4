//! Reading the operators' intent from the store.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::boundary::KeyedRecord;
use quetzalrack_mesh::boundary::ReadOutcome;
use quetzalrack_mesh::boundary::SharedStore;
use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::IntentRead;
use quetzalrack_platform::operator::IntentChange;
use quetzalrack_platform::operator::parse_record;
use quetzalrack_platform::store::OPERATORS_TOPIC;
use tokio::sync::mpsc;

use crate::clock;
use crate::metrics::Metrics;

/// Reads the operators' intent from the store and keeps the newest one, which may come from a peer.
#[derive(Clone)]
pub(super) struct IntentReader {
    pub(super) store: Arc<dyn SharedStore>,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) intent: Rc<RefCell<OperatorsIntent>>,
    /// Whether the latest read failed to reach the store.
    pub(super) store_unreachable: Rc<Cell<bool>>,
}

impl IntentReader {
    /// Reads once and reports a changed intent and the outcome of the read.
    pub(super) async fn read(self, wait: Duration) {
        let begun = clock::now();
        let from = self.intent.borrow().offset;
        let known = self.intent.borrow().config.is_some();
        let outcome = match known {
            true => self.store.read(OPERATORS_TOPIC, from, wait).await,
            false => self.store.newest(OPERATORS_TOPIC).await,
        };
        let reachable = outcome != ReadOutcome::Unavailable;
        self.record_read(reachable, from, clock::now().since(begun));
        let result = match outcome {
            ReadOutcome::Records { records, .. } if known && records.is_empty() => {
                IntentRead::Unchanged { begun }
            }
            ReadOutcome::Records { records, next, .. } if known => {
                self.apply(records, next);
                IntentRead::Changed { begun }
            }
            ReadOutcome::Records { records, end, .. } => self.replace(begun, records, end),
            // The records after the known offset are deleted; the newest record of each key is kept.
            ReadOutcome::Expired => match self.store.newest(OPERATORS_TOPIC).await {
                ReadOutcome::Records { records, end, .. } => self.replace(begun, records, end),
                ReadOutcome::Expired | ReadOutcome::Unavailable => IntentRead::Failed,
            },
            ReadOutcome::Unavailable => IntentRead::Failed,
        };
        // The receiver is dropped only when the process ends.
        self.events.send(Event::IntentRead(result)).ok();
    }

    fn record_read(&self, reachable: bool, from: u64, took: Duration) {
        self.metrics
            .store_call("intent", if reachable { "ok" } else { "failed" });
        if self.store_unreachable.replace(!reachable) == reachable {
            let event = match reachable {
                true => "store_regained",
                false => "store_lost",
            };
            log::warn!(event = event, intent = from, read_ms = took.as_millis() as u64; "");
        }
    }

    fn apply(&self, records: Vec<KeyedRecord>, next: u64) {
        let mut intent = self.intent.borrow().clone();
        self.apply_records(&mut intent, records);
        // A newer intent may have come from a peer during the read.
        if next > self.intent.borrow().offset {
            intent.offset = next;
            self.publish(intent);
        }
    }

    fn replace(&self, begun: Moment, records: Vec<KeyedRecord>, end: u64) -> IntentRead {
        let mut intent = OperatorsIntent::default();
        self.apply_records(&mut intent, records);
        let (known, read) = (self.version(&self.intent.borrow()), self.version(&intent));
        // A page that is older than the known intent may lack records written before its end: to continue
        // from that end would skip a version for good.
        if known > read || intent.config.is_none() || end < self.intent.borrow().offset {
            return IntentRead::Failed;
        }
        intent.offset = end;
        self.publish(intent);
        IntentRead::Changed { begun }
    }

    fn apply_records(&self, intent: &mut OperatorsIntent, records: Vec<KeyedRecord>) {
        for record in records {
            match parse_record(&record) {
                Ok(IntentChange::Config(config)) => {
                    if self
                        .version(intent)
                        .is_none_or(|known| config.version > known)
                    {
                        intent.config = Some(Arc::new(config));
                    }
                }
                Ok(IntentChange::Evacuate(zone)) => {
                    intent.evacuated.insert(zone);
                }
                Ok(IntentChange::EndEvacuation(zone)) => {
                    intent.evacuated.remove(&zone);
                }
                Err(error) => {
                    self.metrics.unreadable("operators_record");
                    log::warn!(event = "operators_record_unreadable", key = record.key; "{error}");
                }
            }
        }
    }

    fn version(&self, intent: &OperatorsIntent) -> Option<u64> {
        intent.config.as_ref().map(|config| config.version)
    }

    fn publish(&self, intent: OperatorsIntent) {
        log::info!(
            event = "intent_in_force", source = "store", offset = intent.offset,
            version = self.version(&intent).unwrap_or_default(),
            evacuated = intent.evacuated.len(); ""
        );
        self.intent.replace(intent.clone());
        // The receiver is dropped only when the process ends.
        self.events.send(Event::Intent(intent)).ok();
    }
}
