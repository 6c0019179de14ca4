//! An operator's desk.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::boundary::AppendOutcome;
use quetzalrack_core::boundary::Clock;
use quetzalrack_core::boundary::LogService;
use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::boundary::Stream;
use quetzalrack_core::ids::RecordId;
use quetzalrack_core::intent::IntentAction;
use quetzalrack_core::intent::IntentConfig;
use quetzalrack_core::intent::IntentEvent;
use quetzalrack_core::intent::IntentHappening;
use quetzalrack_core::intent::IntentState;
use quetzalrack_core::intent::LogRecord;
use quetzalrack_core::intent::OrderBody;
use quetzalrack_core::intent::Rejection;
use quetzalrack_core::intent::SignedOrder;
use quetzalrack_core::intent::Stage;
use quetzalrack_core::time::Moment;
use quetzalrack_node::platform::BootClock;
use tokio::time::sleep;

use super::DeskConfig;
use super::DeskError;
use super::OrderDraft;
use super::Verdict;
use super::order_number::order_number;

/// Replays the intent stream, appends orders, and tells what became of them.
pub struct OrderDesk {
    config: DeskConfig,
    log: Arc<dyn LogService>,
    stream: Stream,
    state: IntentState,
    verdicts: BTreeMap<RecordId, Verdict>,
}

impl OrderDesk {
    /// Opens a desk that has read nothing yet.
    pub fn open(config: DeskConfig, log: Arc<dyn LogService>) -> Self {
        let state = IntentState::open(IntentConfig {
            environment: config.environment.clone(),
            stage: Stage::Production,
            keys: config.keys.clone(),
            copy_every: IntentConfig::COPY_EVERY,
        });
        Self {
            stream: Stream::Intent(config.environment.clone()),
            config,
            log,
            state,
            verdicts: BTreeMap::new(),
        }
    }

    /// Returns what is known of both stages.
    pub fn state(&self) -> &IntentState {
        &self.state
    }

    /// Reads the stream to its end, asking again while the log service does not answer.
    pub async fn refresh(&mut self) -> Result<(), DeskError> {
        for attempt in 0..self.config.attempts {
            if attempt > 0 {
                sleep(self.config.pause).await;
            }
            match self.read_to_end().await {
                Err(DeskError::LogDown) => {}
                other => return other,
            }
        }
        Err(DeskError::LogDown)
    }

    /// Gives an order and learns what became of it.
    ///
    /// An answer that does not come says nothing about the record, so the truth is read back; only
    /// when that fails too is the outcome unknown. An append is repeated with the same identity.
    pub async fn give(&mut self, draft: OrderDraft) -> Result<Verdict, DeskError> {
        let (id, data) = self.write(&draft).map_err(|_| DeskError::Unwritable)?;
        if let Some(verdict) = self.verdicts.get(&id) {
            return Ok(verdict.clone());
        }
        let mut may_stand = false;
        for attempt in 0..self.config.attempts {
            if attempt > 0 {
                sleep(self.config.pause).await;
            }
            match self.log.append(&self.stream, data.clone()).await {
                AppendOutcome::Refused => {}
                AppendOutcome::Appended(_) | AppendOutcome::Unknown => may_stand = true,
            }
            if may_stand && self.read_to_end().await.is_ok() && self.verdicts.contains_key(&id) {
                break;
            }
        }
        match self.verdicts.get(&id) {
            Some(verdict) => Ok(verdict.clone()),
            None if may_stand => Ok(Verdict::Unknown(id)),
            None => Err(DeskError::LogDown),
        }
    }

    fn write(&self, draft: &OrderDraft) -> Result<(RecordId, Vec<u8>), serde_json::Error> {
        let config = &self.config;
        let mut attempt = 0;
        let id = loop {
            let id = order_number(&config.environment, &config.operator, draft, attempt)?;
            if !self.was_rejected(id) {
                break id;
            }
            attempt += 1;
        };
        let body = OrderBody {
            id,
            environment: config.environment.clone(),
            base: draft.base,
            operator: config.operator.clone(),
            why: draft.why.clone(),
            at: BootClock.wall(),
            order: draft.order.clone(),
        };
        let signed = SignedOrder::sign(&body, draft.document.clone(), &config.keys)?;
        Ok((id, LogRecord::Order(signed).to_data()?))
    }

    /// Tells whether an order was rejected for something that may have changed since.
    fn was_rejected(&self, id: RecordId) -> bool {
        match self.verdicts.get(&id) {
            Some(Verdict::Rejected(rejection)) => !matches!(rejection, Rejection::WrongBase { .. }),
            _ => false,
        }
    }

    async fn read_to_end(&mut self) -> Result<(), DeskError> {
        loop {
            let from = self.state.next_offset();
            let outcome = self.log.read(&self.stream, from, Duration::ZERO).await;
            let (event, at_end) = match outcome {
                ReadOutcome::Entries {
                    entries, at_end, ..
                } => (IntentEvent::LogRead { entries, at_end }, at_end),
                ReadOutcome::Expired(oldest) => (IntentEvent::LogExpired(oldest), false),
                ReadOutcome::Unavailable => return Err(DeskError::LogDown),
            };
            self.note(event);
            if self.state.is_caught_up() {
                return Ok(());
            }
            if at_end && self.state.has_gap() {
                return Err(DeskError::RecordsMissed);
            }
        }
    }

    fn note(&mut self, event: IntentEvent) {
        for action in self.state.step(Moment::default(), event) {
            let IntentAction::Explain(happening) = action else {
                continue;
            };
            match happening {
                IntentHappening::OrderAccepted { summary, .. } => {
                    let verdict = Verdict::Accepted(summary.clone());
                    self.verdicts.entry(summary.id).or_insert(verdict);
                }
                IntentHappening::OrderRejected { id, rejection, .. } => {
                    // A second copy of a record says nothing new about the order.
                    let verdict = Verdict::Rejected(rejection);
                    self.verdicts.entry(id).or_insert(verdict);
                }
                _ => {}
            }
        }
    }
}
