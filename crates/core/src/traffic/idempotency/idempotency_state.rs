//! The gate's memory of one slice.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::KeyOutcome;
use super::RequestDigest;
use crate::ids::IdempotencyKey;
use crate::time::WallTime;

/// What an entry takes besides its kept answer, in bytes, rounded up.
const ENTRY_SIZE: usize = 192;

/// Remembers every key of one slice that was sent since `floor`; of older keys nothing is known.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IdempotencyState {
    floor: WallTime,
    entries: BTreeMap<IdempotencyKey, Entry>,
    size: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Entry {
    digest: RequestDigest,
    outcome: KeyOutcome,
}

/// Says that bytes are no memory of a slice.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("not the memory of a slice")]
pub struct DecodeStateError(
    /// What the codec said.
    #[from]
    postcard::Error,
);

impl IdempotencyState {
    /// Starts a memory that knows nothing of keys made before `floor`.
    pub fn new(floor: WallTime) -> Self {
        Self {
            floor,
            entries: BTreeMap::new(),
            size: 0,
        }
    }

    /// Reads what [`Self::encode`] wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeStateError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Writes the memory for the slice's next owner. Work that is still running may or may not
    /// run to its end, so the next owner gets it as unknown.
    pub fn encode(mut self) -> Result<Vec<u8>, DecodeStateError> {
        for entry in self.entries.values_mut() {
            if entry.outcome == KeyOutcome::Running {
                entry.outcome = KeyOutcome::Unknown;
            }
        }
        Ok(postcard::to_stdvec(&self)?)
    }

    /// Returns the time before which nothing is known.
    pub fn floor(&self) -> WallTime {
        self.floor
    }

    /// Returns what is known of a key.
    pub fn get(&self, key: IdempotencyKey) -> Option<(RequestDigest, &KeyOutcome)> {
        let entry = self.entries.get(&key)?;
        Some((entry.digest, &entry.outcome))
    }

    /// Records a key as running.
    pub fn start(&mut self, key: IdempotencyKey, digest: RequestDigest) {
        let outcome = KeyOutcome::Running;
        self.insert(key, Entry { digest, outcome });
    }

    /// Records what became of a key, if the key is still remembered.
    pub fn end(&mut self, key: IdempotencyKey, outcome: KeyOutcome) {
        if let Some(entry) = self.entries.get(&key) {
            let digest = entry.digest;
            self.insert(key, Entry { digest, outcome });
        }
    }

    /// Forgets a key whose work surely did not run.
    pub fn remove(&mut self, key: IdempotencyKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.size -= entry.size();
        }
    }

    /// Forgets the keys made before `floor`.
    pub fn raise_floor(&mut self, floor: WallTime) {
        self.floor = self.floor.max(floor);
        // Version 7 keys sort by their time, so the oldest come first.
        while let Some(oldest) = self.entries.first_entry() {
            if key_time(*oldest.key()).is_some_and(|time| time >= self.floor) {
                return;
            }
            self.size -= oldest.remove().size();
        }
    }

    /// Returns the time in the oldest key, if any key is remembered.
    pub fn oldest(&self) -> Option<WallTime> {
        self.entries.keys().next().copied().and_then(key_time)
    }

    /// Returns about how many bytes of memory the entries take.
    pub fn size(&self) -> usize {
        self.size
    }

    fn insert(&mut self, key: IdempotencyKey, entry: Entry) {
        self.size += entry.size();
        if let Some(old) = self.entries.insert(key, entry) {
            self.size -= old.size();
        }
    }
}

impl Entry {
    fn size(&self) -> usize {
        let kept = match &self.outcome {
            KeyOutcome::Answered(answer) => answer.size(),
            _ => 0,
        };
        ENTRY_SIZE + kept
    }
}

/// Returns the time in a version 7 key; none for any other UUID.
pub(super) fn key_time(key: IdempotencyKey) -> Option<WallTime> {
    if key.0.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanoseconds) = key.0.get_timestamp()?.to_unix();
    Some(WallTime(
        seconds * 1_000 + u64::from(nanoseconds / 1_000_000),
    ))
}
