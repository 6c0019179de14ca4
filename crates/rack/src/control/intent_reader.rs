//! Reading what operators write to the store.

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

/// Keeps the newest intent, read from the store or told by another node.
#[derive(Clone)]
pub(super) struct IntentReader {
    pub(super) store: Arc<dyn SharedStore>,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) intent: Rc<RefCell<OperatorsIntent>>,
    /// Whether the newest read failed.
    pub(super) away: Rc<Cell<bool>>,
}

impl IntentReader {
    /// Reads once, and reports news and how it ended.
    pub(super) async fn read(self, wait: Duration) {
        let begun = clock::now();
        let from = self.intent.borrow().offset;
        let known = self.intent.borrow().config.is_some();
        let outcome = match known {
            true => self.store.read(OPERATORS_TOPIC, from, wait).await,
            false => self.store.newest(OPERATORS_TOPIC).await,
        };
        let reached = outcome != ReadOutcome::Unavailable;
        self.note(reached, from, clock::now().since(begun));
        let ended = match outcome {
            ReadOutcome::Records { records, .. } if known && records.is_empty() => {
                IntentRead::Unchanged { begun }
            }
            ReadOutcome::Records { records, next, .. } if known => {
                self.apply(records, next);
                IntentRead::Changed { begun }
            }
            ReadOutcome::Records { records, end, .. } => self.replace(begun, records, end),
            // The records after ours are gone; the newest of each key are not.
            ReadOutcome::Expired => match self.store.newest(OPERATORS_TOPIC).await {
                ReadOutcome::Records { records, end, .. } => self.replace(begun, records, end),
                ReadOutcome::Expired | ReadOutcome::Unavailable => IntentRead::Failed,
            },
            ReadOutcome::Unavailable => IntentRead::Failed,
        };
        // The control loop ends only with the process.
        self.events.send(Event::IntentRead(ended)).ok();
    }

    fn note(&self, reached: bool, from: u64, took: Duration) {
        self.metrics
            .store_call("intent", if reached { "ok" } else { "failed" });
        if self.away.replace(!reached) == reached {
            let event = match reached {
                true => "store_regained",
                false => "store_lost",
            };
            log::warn!(event = event, intent = from, read_ms = took.as_millis() as u64; "");
        }
    }

    fn apply(&self, records: Vec<KeyedRecord>, next: u64) {
        let mut intent = self.intent.borrow().clone();
        self.change(&mut intent, records);
        // Another node may have told more meanwhile.
        if next > self.intent.borrow().offset {
            intent.offset = next;
            self.publish(intent);
        }
    }

    fn replace(&self, begun: Moment, records: Vec<KeyedRecord>, end: u64) -> IntentRead {
        let mut intent = OperatorsIntent::default();
        self.change(&mut intent, records);
        let (known, read) = (self.version(&self.intent.borrow()), self.version(&intent));
        // A page that lags behind what is known says nothing of what was written up to its end: going on
        // from there would leave a version out for good.
        if known > read || intent.config.is_none() || end < self.intent.borrow().offset {
            return IntentRead::Failed;
        }
        intent.offset = end;
        self.publish(intent);
        IntentRead::Changed { begun }
    }

    fn change(&self, intent: &mut OperatorsIntent, records: Vec<KeyedRecord>) {
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
                Ok(IntentChange::Return(zone)) => {
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
        // The control loop ends only with the process.
        self.events.send(Event::Intent(intent)).ok();
    }
}
