//! Following what operators write to the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_mesh::boundary::KeyedRecord;
use quetzalrack_mesh::boundary::ReadOutcome;
use quetzalrack_mesh::boundary::SharedStore;
use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_platform::operator::IntentChange;
use quetzalrack_platform::operator::parse_record;
use quetzalrack_platform::store::OPERATORS_TOPIC;
use tokio::sync::mpsc;

use crate::metrics::Metrics;

/// How long one read waits for news. Each read is a call that is paid for; a connection that has
/// gone silent is noticed by its probes meanwhile.
const LONG_POLL: Duration = Duration::from_secs(6);
/// How long after a change the next read follows: operators write in quick succession now and then,
/// and one read brings all of it.
const AFTER_CHANGE: Duration = Duration::from_millis(200);
/// How long after a failed read the next one follows, at first and at most.
const AFTER_FAILURE: Duration = Duration::from_millis(250);
/// See [`AFTER_FAILURE`].
const AFTER_FAILURES: Duration = Duration::from_millis(1_000);

/// Keeps the newest intent, read from the store or told by another node.
#[derive(Clone)]
pub(super) struct IntentReader {
    pub(super) store: Arc<dyn SharedStore>,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) intent: Rc<RefCell<OperatorsIntent>>,
}

impl IntentReader {
    /// Follows the operators' topic until the process ends.
    pub(super) async fn run(self) {
        let mut pause = AFTER_FAILURE;
        let mut away = false;
        loop {
            let from = self.intent.borrow().offset;
            let known = self.intent.borrow().config.is_some();
            let outcome = match known {
                true => self.store.read(OPERATORS_TOPIC, from, LONG_POLL).await,
                false => self.store.newest(OPERATORS_TOPIC).await,
            };
            let reached = outcome != ReadOutcome::Unavailable;
            self.metrics
                .store_call("intent", if reached { "ok" } else { "failed" });
            if reached == away {
                away = !reached;
                let event = if away { "store_lost" } else { "store_regained" };
                log::warn!(event = event, intent = from; "");
            }
            match outcome {
                ReadOutcome::Records { records, next, .. } if known => {
                    pause = AFTER_FAILURE;
                    if !records.is_empty() {
                        self.apply(records, next);
                        tokio::time::sleep(AFTER_CHANGE).await;
                    }
                }
                ReadOutcome::Records { records, end, .. } => self.replace(records, end).await,
                // The records after ours are gone; the newest of each key are not.
                ReadOutcome::Expired => match self.store.newest(OPERATORS_TOPIC).await {
                    ReadOutcome::Records { records, end, .. } => self.replace(records, end).await,
                    _ => tokio::time::sleep(AFTER_FAILURE).await,
                },
                ReadOutcome::Unavailable => {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(AFTER_FAILURES);
                }
            }
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

    async fn replace(&self, records: Vec<KeyedRecord>, end: u64) {
        let mut intent = OperatorsIntent::default();
        self.change(&mut intent, records);
        let (known, read) = (self.version(&self.intent.borrow()), self.version(&intent));
        if known > read {
            // A page of the newest records is no snapshot, and versions never go back.
            intent.config.clone_from(&self.intent.borrow().config);
        }
        if end >= self.intent.borrow().offset && intent.config.is_some() {
            intent.offset = end;
            self.publish(intent);
        } else {
            tokio::time::sleep(AFTER_FAILURE).await;
        }
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
