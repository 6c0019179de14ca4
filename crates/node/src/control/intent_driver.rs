//! The intent half of the control thread.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalrack_core::boundary::ReadOutcome;
use quetzalrack_core::boundary::Stream;
use quetzalrack_core::explain::Explanation;
use quetzalrack_core::intent::InForce;
use quetzalrack_core::intent::IntentAction;
use quetzalrack_core::intent::IntentConfig;
use quetzalrack_core::intent::IntentEvent;
use quetzalrack_core::intent::IntentState;
use quetzalrack_core::time::Moment;

use super::ControlEvent;
use super::ControlParts;
use super::intent_queries::IntentQueries;
use super::intent_sources::IntentSources;
use super::log_tail::LogTail;

/// How long one read waits at the log service for a record. A log service that is cut off without
/// a word is noticed this much and a second later; then other nodes are asked, in time for the five
/// seconds in which newer intent is in force everywhere.
const LONG_POLL: Duration = Duration::from_secs(3);

/// Follows the intent stream and carries out what its reader asks.
pub(super) struct IntentDriver {
    state: IntentState,
    tail: LogTail,
    questions: IntentQueries,
}

impl IntentDriver {
    /// Opens the reader.
    pub(super) fn open(parts: &ControlParts) -> Self {
        let config = IntentConfig {
            environment: parts.environment.clone(),
            stage: parts.stage,
            keys: (*parts.keys.operators()).clone(),
            copy_every: IntentConfig::COPY_EVERY,
        };
        let stream = Stream::Intent(parts.environment.clone());
        Self {
            state: IntentState::open(config),
            tail: LogTail::open(stream, ControlEvent::IntentRead, LONG_POLL),
            questions: IntentQueries::default(),
        }
    }

    /// Reads on while this node has to follow the stream itself.
    pub(super) fn follow(&mut self, is_needed: bool, parts: &ControlParts) {
        self.tail.follow(is_needed, self.state.next_offset(), parts);
    }

    /// Takes the outcome of a read and returns newer intent.
    pub(super) fn take_read(
        &mut self,
        now: Moment,
        outcome: ReadOutcome,
        parts: &ControlParts,
    ) -> Option<Arc<InForce>> {
        self.note_answer(&outcome, parts);
        match outcome {
            ReadOutcome::Entries {
                entries, at_end, ..
            } => self.step(now, IntentEvent::LogRead { entries, at_end }, parts),
            ReadOutcome::Expired(oldest) => self.step(now, IntentEvent::LogExpired(oldest), parts),
            ReadOutcome::Unavailable => None,
        }
    }

    /// Lets time pass, and asks other nodes while the log can't tell what is in force, or once the
    /// controller told of something newer.
    pub(super) fn tick(
        &mut self,
        now: Moment,
        sources: &IntentSources,
        parts: &ControlParts,
    ) -> Option<Arc<InForce>> {
        let wall = parts.boundaries.clock.wall();
        let found = self.step(now, IntentEvent::Tick { wall }, parts);
        let version = self.state.version();
        let is_cut_off = self.tail.is_failing() || !self.state.is_caught_up();
        let is_behind = sources.told > version && !self.tail.is_reading();
        if is_behind || (self.tail.is_needed() && is_cut_off) {
            self.questions.ask(now, version, sources, parts);
        }
        found
    }

    /// Gives the reader one event, does what it asks, and returns newer intent.
    pub(super) fn step(
        &mut self,
        now: Moment,
        event: IntentEvent,
        parts: &ControlParts,
    ) -> Option<Arc<InForce>> {
        let mut newest = None;
        for action in self.state.step(now, event) {
            match action {
                IntentAction::InForce(in_force) => {
                    self.publish(now, &in_force, parts);
                    newest = Some(in_force);
                }
                IntentAction::Append { id, data } => {
                    log::info!(event = "intent_copied", record:% = id; "republishing the intent");
                    self.append(data, parts);
                }
                IntentAction::Explain(happening) => {
                    log::info!(event = "intent_record", verdict:? = happening; "a record of the intent stream was judged");
                    parts.view.explanations.record(Explanation {
                        at: parts.boundaries.clock.wall(),
                        happening: happening.into(),
                    });
                }
            }
        }
        newest
    }

    fn publish(&self, now: Moment, in_force: &Arc<InForce>, parts: &ControlParts) {
        log::info!(
            event = "intent_in_force",
            version:% = in_force.version,
            digest:% = in_force.digest;
            "newer intent is in force"
        );
        parts.snapshot.store(self.state.snapshot().map(Arc::new));
        parts.view.intent.store(Some(in_force.clone()));
        parts.board.set_intent_since(now);
    }

    fn append(&self, data: Vec<u8>, parts: &ControlParts) {
        let log = parts.boundaries.log.clone();
        let stream = self.tail.stream().clone();
        parts.runtime.spawn(async move {
            let outcome = log.append(&stream, data).await;
            log::debug!(event = "intent_append_finished", outcome:? = outcome; "an append to the intent stream ended");
        });
    }

    fn note_answer(&mut self, outcome: &ReadOutcome, parts: &ControlParts) {
        let answered = *outcome != ReadOutcome::Unavailable;
        if self.tail.record_outcome(outcome) {
            log::warn!(event = "log_reachable", reachable = answered; "the log service changed its condition");
        }
        parts.board.log_reachable.store(answered, Ordering::Relaxed);
    }
}
