//! The store of idempotency keys.

use std::collections::BTreeMap;
use std::time::Duration;

use super::ExecutionOutcome;
use super::IdempotencyDecision;
use super::IdempotencySettings;
use super::IdempotencyState;
use super::KeyOutcome;
use super::RequestDigest;
use super::idempotency_state::key_time;
use crate::ids::Fence;
use crate::ids::IdempotencyKey;
use crate::ids::SliceId;
use crate::time::WallTime;
use crate::traffic::refusal::RefusalCode;

/// Lets the work of each idempotency key run at most once while this node owns the key's slice.
///
/// The key is recorded before anything is sent. The time in a key tells a forgotten key from a new
/// one: a key older than the state of its slice gets "outcome unknown" and never runs.
#[derive(Clone, Debug)]
pub struct IdempotencyStore {
    settings: IdempotencySettings,
    slices: BTreeMap<SliceId, SliceEntry>,
    size: usize,
}

#[derive(Clone, Debug)]
struct SliceEntry {
    fence: Fence,
    state: IdempotencyState,
}

impl IdempotencyStore {
    /// Creates a store without slices.
    pub fn new(settings: IdempotencySettings) -> Self {
        Self {
            settings,
            slices: BTreeMap::new(),
            size: 0,
        }
    }

    /// Adds a slice under a new grant, with the state handed over by the previous owner or with an
    /// empty one.
    pub fn add_slice(
        &mut self,
        now: WallTime,
        slice: &SliceId,
        fence: Fence,
        previous: Option<IdempotencyState>,
    ) {
        // A lost owner accepted keys up to `max_ahead` of its clock, which may differ from this
        // one by `clock_drift`. Without this allowance such a key would count as new and run twice.
        let known_since = add(now, self.settings.max_ahead + self.settings.clock_drift);
        let state = previous.unwrap_or_else(|| IdempotencyState::new(known_since));
        self.size += state.size();
        if let Some(old) = self
            .slices
            .insert(slice.clone(), SliceEntry { fence, state })
        {
            self.size -= old.state.size();
        }
        self.enforce_limits(now);
    }

    /// Decides on a request and, if it may run, records its key as running.
    pub fn admit(
        &mut self,
        now: WallTime,
        slice: &SliceId,
        fence: Fence,
        key: IdempotencyKey,
        digest: RequestDigest,
    ) -> IdempotencyDecision {
        let Some(time) = key_time(key) else {
            return IdempotencyDecision::Refuse(RefusalCode::KeyRequired);
        };
        self.enforce_limits(now);
        let Some(entry) = self.entry(slice, fence) else {
            return IdempotencyDecision::Refuse(RefusalCode::NotOwner);
        };
        if let Some((known, outcome)) = entry.state.get(key) {
            return Self::replay(known == digest, outcome);
        }
        if time < entry.state.known_since() {
            return IdempotencyDecision::Refuse(RefusalCode::OutcomeUnknown);
        }
        if time > add(now, self.settings.max_ahead) {
            return IdempotencyDecision::Refuse(RefusalCode::KeyAhead);
        }
        self.update(slice, fence, |state| state.start(key, digest));
        IdempotencyDecision::Run
    }

    /// Records how the work of a key ended.
    pub fn finish(
        &mut self,
        slice: &SliceId,
        fence: Fence,
        key: IdempotencyKey,
        outcome: ExecutionOutcome,
    ) {
        let limit = self.settings.response_limit;
        let outcome = match outcome {
            ExecutionOutcome::NotRun => {
                self.update(slice, fence, |state| state.remove(key));
                return;
            }
            ExecutionOutcome::Answered(response) if response.size() > limit => KeyOutcome::TooLarge,
            ExecutionOutcome::Answered(response) => KeyOutcome::Answered(response),
            ExecutionOutcome::TooLarge => KeyOutcome::TooLarge,
            ExecutionOutcome::Failed => KeyOutcome::Failed,
            ExecutionOutcome::Unknown => KeyOutcome::Unknown,
        };
        self.update(slice, fence, |state| state.end(key, outcome));
    }

    /// Removes a slice and returns its state for the next owner.
    pub fn remove_slice(&mut self, slice: &SliceId, fence: Fence) -> Option<IdempotencyState> {
        self.entry(slice, fence)?;
        let entry = self.slices.remove(slice)?;
        self.size -= entry.state.size();
        Some(entry.state)
    }

    /// Returns the approximate memory in use, in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns the size of the largest response that is stored, in bytes.
    pub fn response_limit(&self) -> usize {
        self.settings.response_limit
    }

    fn replay(same: bool, outcome: &KeyOutcome) -> IdempotencyDecision {
        if !same {
            return IdempotencyDecision::Refuse(RefusalCode::KeyReused);
        }
        match outcome {
            KeyOutcome::Running => IdempotencyDecision::Refuse(RefusalCode::StillRunning),
            KeyOutcome::Answered(response) => IdempotencyDecision::Replay(response.clone()),
            KeyOutcome::TooLarge => IdempotencyDecision::Refuse(RefusalCode::OutcomeNotKept),
            KeyOutcome::Failed => IdempotencyDecision::Refuse(RefusalCode::ServerFailed),
            KeyOutcome::Unknown => IdempotencyDecision::Refuse(RefusalCode::OutcomeUnknown),
        }
    }

    fn entry(&self, slice: &SliceId, fence: Fence) -> Option<&SliceEntry> {
        let entry = self.slices.get(slice)?;
        (entry.fence == fence).then_some(entry)
    }

    fn update<F>(&mut self, slice: &SliceId, fence: Fence, update: F)
    where
        F: FnOnce(&mut IdempotencyState),
    {
        let Some(entry) = self.slices.get_mut(slice) else {
            return;
        };
        if entry.fence != fence {
            return;
        }
        self.size -= entry.state.size();
        update(&mut entry.state);
        self.size += entry.state.size();
    }

    /// Forgets keys past their retention, then the oldest keys until the rest fits the memory
    /// limit. The times since which keys are known rise accordingly, so that a forgotten key is
    /// refused and never runs again.
    fn enforce_limits(&mut self, now: WallTime) {
        let retention = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        let expiry = WallTime(now.0.saturating_sub(retention));
        for entry in self.slices.values_mut() {
            self.size -= entry.state.size();
            entry.state.forget_before(expiry);
            self.size += entry.state.size();
        }
        while self.size > self.settings.memory_limit {
            let oldest = self
                .slices
                .values_mut()
                .filter_map(|each| Some((each.state.oldest()?, each)))
                .min_by_key(|(time, _)| *time);
            let Some((time, entry)) = oldest else {
                return;
            };
            self.size -= entry.state.size();
            entry
                .state
                .forget_before(add(time, Duration::from_millis(1)));
            self.size += entry.state.size();
        }
    }
}

fn add(time: WallTime, span: Duration) -> WallTime {
    let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    WallTime(time.0.saturating_add(span))
}
