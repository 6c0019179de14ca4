//! What earlier records led to, signed.

use serde::Deserialize;
use serde::Serialize;

use super::snapshot_body::SnapshotBody;
use crate::security::KeyRing;
use crate::security::Signature;

const PURPOSE: &[u8] = b"quetzalrack intent snapshot\n";

/// Carries the intent of both stages to readers that missed records, through the log or from a
/// peer; strangers can't make one.
///
/// Orders inside keep their operators' signatures. Once a key was replaced they can't be checked
/// any more, and the signature of the whole, made with a current key, stands for them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IntentSnapshot {
    body: String,
    signature: Signature,
}

impl IntentSnapshot {
    pub(super) fn sign(body: &SnapshotBody, keys: &KeyRing) -> Result<Self, serde_json::Error> {
        let text = serde_json::to_string(body)?;
        Ok(Self {
            signature: keys.sign(&message(&text)),
            body: text,
        })
    }

    pub(super) fn open(&self, keys: &KeyRing) -> Option<SnapshotBody> {
        if !keys.verify(&message(&self.body), &self.signature) {
            return None;
        }
        serde_json::from_str(&self.body).ok()
    }
}

fn message(text: &str) -> Vec<u8> {
    [PURPOSE, text.as_bytes()].concat()
}
