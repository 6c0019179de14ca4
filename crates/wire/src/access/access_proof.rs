//! The proof that a call was made by the holder of an operator's key.

use std::time::Duration;

use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::Signature;
use quetzalrack_core::time::WallTime;
use serde::Deserialize;
use serde::Serialize;

use super::AccessError;

/// How far the clocks of an operator and a node may be apart; a recorded call can be repeated for
/// this long, which is harmless because such calls only read.
const MOST_SKEW: Duration = Duration::from_secs(60);

/// Is the content of the proof's header, as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessProof {
    at: WallTime,
    signature: Signature,
}

impl AccessProof {
    /// Proves a call of `target`, the path with its query, at `now`.
    pub fn make(target: &str, now: WallTime, keys: &KeyRing) -> Self {
        Self {
            at: now,
            signature: keys.sign(&signed_text(target, now)),
        }
    }

    /// Writes the proof as the header's value.
    pub fn to_header(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }

    /// Checks a header's value against the call it came with.
    pub fn check(
        header: Option<&str>,
        target: &str,
        now: WallTime,
        keys: &KeyRing,
    ) -> Result<(), AccessError> {
        let proof: Self = header
            .and_then(|text| serde_json::from_str(text).ok())
            .ok_or(AccessError::Missing)?;
        if proof.at.since(now).max(now.since(proof.at)) > MOST_SKEW {
            return Err(AccessError::Stale);
        }
        if !keys.verify(&signed_text(target, proof.at), &proof.signature) {
            return Err(AccessError::Signature);
        }
        Ok(())
    }
}

fn signed_text(target: &str, at: WallTime) -> Vec<u8> {
    format!("quetzalrack operator\n{target}\n{}", at.0).into_bytes()
}
