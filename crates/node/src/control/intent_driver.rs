//! Runs the intent state machine on the control thread.

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

/// How long one read waits at the log service for a record. A log service that silently becomes
/// unreachable is detected one second after this wait; peers are queried then, within the five
/// seconds after which newer intent must be in force everywhere.
const LONG_POLL: Duration = Duration::from_secs(3);

/// Follows the intent stream and executes the actions of the intent state machine.
pub(super) struct IntentDriver {
    state: IntentState,
    tail: LogTail,
    queries: IntentQueries,
}

impl IntentDriver {
    /// Creates the state machine.
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
            queries: IntentQueries::default(),
        }
    }

    /// Continues reading if `is_needed`: this node has to follow the stream itself.
    pub(super) fn follow(&mut self, is_needed: bool, parts: &ControlParts) {
        self.tail.follow(is_needed, self.state.next_offset(), parts);
    }

    /// Handles the outcome of a read and returns newer intent, if any.
    pub(super) fn handle_read(
        &mut self,
        now: Moment,
        outcome: ReadOutcome,
        parts: &ControlParts,
    ) -> Option<Arc<InForce>> {
        self.record_reachability(&outcome, parts);
        match outcome {
            ReadOutcome::Entries {
                entries, at_end, ..
            } => self.step(now, IntentEvent::LogRead { entries, at_end }, parts),
            ReadOutcome::Expired(oldest) => self.step(now, IntentEvent::LogExpired(oldest), parts),
            ReadOutcome::Unavailable => None,
        }
    }

    /// Advances the state machine's time. Queries peers while the log service can't provide the
    /// newest intent, or when the controller has announced a newer version.
    pub(super) fn tick(
        &mut self,
        now: Moment,
        sources: &IntentSources,
        parts: &ControlParts,
    ) -> Option<Arc<InForce>> {
        let wall = parts.boundaries.clock.wall();
        let newest = self.step(now, IntentEvent::Tick { wall }, parts);
        let version = self.state.version();
        let may_lag = self.tail.is_failing() || !self.state.is_caught_up();
        let is_behind = sources.announced > version && !self.tail.is_reading();
        if is_behind || (self.tail.is_needed() && may_lag) {
            self.queries.query_next(now, version, sources, parts);
        }
        newest
    }

    /// Passes one event to the state machine, executes its actions, and returns newer intent, if any.
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
                    log::info!(event = "intent_record", verdict:? = happening; "processed a record of the intent stream");
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
            log::debug!(event = "intent_append_finished", outcome:? = outcome; "finished an append to the intent stream");
        });
    }

    fn record_reachability(&mut self, outcome: &ReadOutcome, parts: &ControlParts) {
        let reachable = *outcome != ReadOutcome::Unavailable;
        if self.tail.record_outcome(outcome) {
            log::warn!(event = "log_reachable", reachable = reachable; "the log service became reachable or unreachable");
        }
        parts
            .board
            .log_reachable
            .store(reachable, Ordering::Relaxed);
    }
}
