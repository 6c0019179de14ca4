//! The idempotency keys of one slice.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::KeyOutcome;
use super::RequestDigest;
use crate::ids::IdempotencyKey;
use crate::time::WallTime;

/// What an entry takes besides its stored response, in bytes, rounded up.
const ENTRY_BYTES: usize = 192;

/// Keeps every idempotency key of one slice that was made since `known_since`; of older keys
/// nothing is known.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IdempotencyState {
    known_since: WallTime,
    entries: BTreeMap<IdempotencyKey, Entry>,
    size: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Entry {
    digest: RequestDigest,
    outcome: KeyOutcome,
}

/// The error for bytes that don't encode the idempotency state of a slice.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("malformed idempotency state of a slice")]
pub struct DecodeStateError(
    /// The error of the codec.
    #[from]
    postcard::Error,
);

impl IdempotencyState {
    /// Creates a state that knows nothing of keys made before `known_since`.
    pub fn new(known_since: WallTime) -> Self {
        Self {
            known_since,
            entries: BTreeMap::new(),
            size: 0,
        }
    }

    /// Decodes the output of [`Self::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeStateError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Encodes the state for the slice's next owner. Work that is still running may or may not
    /// complete, so the next owner gets its outcome as unknown.
    pub fn encode(mut self) -> Result<Vec<u8>, DecodeStateError> {
        for entry in self.entries.values_mut() {
            if entry.outcome == KeyOutcome::Running {
                entry.outcome = KeyOutcome::Unknown;
            }
        }
        Ok(postcard::to_stdvec(&self)?)
    }

    /// Returns the time before which nothing is known.
    pub fn known_since(&self) -> WallTime {
        self.known_since
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

    /// Records the outcome of a key, if the key is still known.
    pub fn end(&mut self, key: IdempotencyKey, outcome: KeyOutcome) {
        if let Some(entry) = self.entries.get(&key) {
            let digest = entry.digest;
            self.insert(key, Entry { digest, outcome });
        }
    }

    /// Removes a key whose work certainly did not run.
    pub fn remove(&mut self, key: IdempotencyKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.size -= entry.size();
        }
    }

    /// Removes the keys made before `time`.
    pub fn forget_before(&mut self, time: WallTime) {
        self.known_since = self.known_since.max(time);
        // Version 7 UUIDs sort by their time, so the oldest come first.
        while let Some(oldest) = self.entries.first_entry() {
            if key_time(*oldest.key()).is_some_and(|time| time >= self.known_since) {
                return;
            }
            self.size -= oldest.remove().size();
        }
    }

    /// Returns the time in the oldest key, if any key is known.
    pub fn oldest(&self) -> Option<WallTime> {
        self.entries.keys().next().copied().and_then(key_time)
    }

    /// Returns the approximate memory that the entries take, in bytes.
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
        let response_bytes = match &self.outcome {
            KeyOutcome::Answered(response) => response.size(),
            _ => 0,
        };
        ENTRY_BYTES + response_bytes
    }
}

/// Returns the time in a version 7 UUID; none for other versions.
pub(super) fn key_time(key: IdempotencyKey) -> Option<WallTime> {
    if key.0.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanoseconds) = key.0.get_timestamp()?.to_unix();
    Some(WallTime(
        seconds * 1_000 + u64::from(nanoseconds / 1_000_000),
    ))
}
