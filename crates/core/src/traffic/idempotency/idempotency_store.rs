//! The decisions of the gate.

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

/// Lets the work of each key run at most once while this node owns the key's slice.
///
/// The key is recorded before anything is sent. What is not remembered is told from what never
/// came by the time in the key: a key older than the memory of its slice gets "outcome unknown",
/// never a run.
#[derive(Clone, Debug)]
pub struct IdempotencyStore {
    settings: IdempotencySettings,
    slices: BTreeMap<SliceId, SliceEntry>,
    size: usize,
}

#[derive(Clone, Debug)]
struct SliceEntry {
    fence: Fence,
    memory: IdempotencyState,
}

impl IdempotencyStore {
    /// Makes a gate that guards no slice yet.
    pub fn new(settings: IdempotencySettings) -> Self {
        Self {
            settings,
            slices: BTreeMap::new(),
            size: 0,
        }
    }

    /// Starts to guard a slice under a new grant, with the memory handed over by the previous
    /// owner or with an empty one.
    pub fn add_slice(
        &mut self,
        now: WallTime,
        slice: &SliceId,
        fence: Fence,
        handed: Option<IdempotencyState>,
    ) {
        // The lost owner took keys up to `ahead` of its clock, which may differ from this one by
        // `drift`; without this allowance such a key would pass as new and run twice.
        let unknown = add(now, self.settings.max_ahead + self.settings.clock_drift);
        let memory = handed.unwrap_or_else(|| IdempotencyState::new(unknown));
        self.size += memory.size();
        if let Some(old) = self
            .slices
            .insert(slice.clone(), SliceEntry { fence, memory })
        {
            self.size -= old.memory.size();
        }
        self.fit(now);
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
        self.fit(now);
        let Some(guarded) = self.guarded(slice, fence) else {
            return IdempotencyDecision::Refuse(RefusalCode::NotOwner);
        };
        if let Some((known, outcome)) = guarded.memory.get(key) {
            return Self::repeat(known == digest, outcome);
        }
        if time < guarded.memory.floor() {
            return IdempotencyDecision::Refuse(RefusalCode::OutcomeUnknown);
        }
        if time > add(now, self.settings.max_ahead) {
            return IdempotencyDecision::Refuse(RefusalCode::KeyAhead);
        }
        self.change(slice, fence, |memory| memory.start(key, digest));
        IdempotencyDecision::Run
    }

    /// Records how the work of a key ended.
    pub fn finish(
        &mut self,
        slice: &SliceId,
        fence: Fence,
        key: IdempotencyKey,
        end: ExecutionOutcome,
    ) {
        let limit = self.settings.response_limit;
        let outcome = match end {
            ExecutionOutcome::NotRun => {
                self.change(slice, fence, |memory| memory.remove(key));
                return;
            }
            ExecutionOutcome::Answered(answer) if answer.size() > limit => KeyOutcome::TooLarge,
            ExecutionOutcome::Answered(answer) => KeyOutcome::Answered(answer),
            ExecutionOutcome::TooLarge => KeyOutcome::TooLarge,
            ExecutionOutcome::Failed => KeyOutcome::Failed,
            ExecutionOutcome::Unknown => KeyOutcome::Unknown,
        };
        self.change(slice, fence, |memory| memory.end(key, outcome));
    }

    /// Stops guarding a slice and returns its memory for the next owner.
    pub fn remove_slice(&mut self, slice: &SliceId, fence: Fence) -> Option<IdempotencyState> {
        self.guarded(slice, fence)?;
        let guarded = self.slices.remove(slice)?;
        self.size -= guarded.memory.size();
        Some(guarded.memory)
    }

    /// Returns about how many bytes of memory are in use.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns how large an answer may be to be kept, in bytes.
    pub fn response_limit(&self) -> usize {
        self.settings.response_limit
    }

    fn repeat(same: bool, outcome: &KeyOutcome) -> IdempotencyDecision {
        if !same {
            return IdempotencyDecision::Refuse(RefusalCode::KeyReused);
        }
        match outcome {
            KeyOutcome::Running => IdempotencyDecision::Refuse(RefusalCode::StillRunning),
            KeyOutcome::Answered(answer) => IdempotencyDecision::Replay(answer.clone()),
            KeyOutcome::TooLarge => IdempotencyDecision::Refuse(RefusalCode::OutcomeNotKept),
            KeyOutcome::Failed => IdempotencyDecision::Refuse(RefusalCode::ServerFailed),
            KeyOutcome::Unknown => IdempotencyDecision::Refuse(RefusalCode::OutcomeUnknown),
        }
    }

    fn guarded(&self, slice: &SliceId, fence: Fence) -> Option<&SliceEntry> {
        let guarded = self.slices.get(slice)?;
        (guarded.fence == fence).then_some(guarded)
    }

    fn change<F>(&mut self, slice: &SliceId, fence: Fence, change: F)
    where
        F: FnOnce(&mut IdempotencyState),
    {
        let Some(guarded) = self.slices.get_mut(slice) else {
            return;
        };
        if guarded.fence != fence {
            return;
        }
        self.size -= guarded.memory.size();
        change(&mut guarded.memory);
        self.size += guarded.memory.size();
    }

    /// Forgets what is past the window, and the oldest of the rest until all fits the memory. The
    /// floor rises with it, so that a forgotten key is refused and never runs again.
    fn fit(&mut self, now: WallTime) {
        let window = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        let past = WallTime(now.0.saturating_sub(window));
        for guarded in self.slices.values_mut() {
            self.size -= guarded.memory.size();
            guarded.memory.raise_floor(past);
            self.size += guarded.memory.size();
        }
        while self.size > self.settings.memory_limit {
            let oldest = self
                .slices
                .values_mut()
                .filter_map(|each| Some((each.memory.oldest()?, each)))
                .min_by_key(|(time, _)| *time);
            let Some((time, guarded)) = oldest else {
                return;
            };
            self.size -= guarded.memory.size();
            guarded
                .memory
                .raise_floor(add(time, Duration::from_millis(1)));
            self.size += guarded.memory.size();
        }
    }
}

fn add(time: WallTime, span: Duration) -> WallTime {
    let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    WallTime(time.0.saturating_add(span))
}
