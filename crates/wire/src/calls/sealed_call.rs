//! The signed envelope of calls and answers.

use quetzalrack_core::security::KeyRing;
use quetzalrack_core::security::Signature;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

use super::CallError;

/// Is the one parameter of a call, or its answer.
///
/// The signature covers the method, the call's number and the body. An answer carries the number
/// of its call, so that a recorded old answer can't stand in for a new one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SealedCall {
    /// Tells this call from every other.
    pub number: Uuid,
    /// The body, JSON text.
    pub body: String,
    /// The signature.
    pub signature: Signature,
}

impl SealedCall {
    /// Signs a call of `method` with a new number.
    pub fn seal<B>(method: &str, body: &B, keys: &KeyRing) -> Result<Self, CallError>
    where
        B: Serialize,
    {
        Self::seal_as(&question(method), Uuid::new_v4(), body, keys)
    }

    /// Signs the answer to this call of `method`.
    pub fn answer<B>(&self, method: &str, body: &B, keys: &KeyRing) -> Result<Self, CallError>
    where
        B: Serialize,
    {
        Self::seal_as(&answer(method), self.number, body, keys)
    }

    /// Verifies this call of `method` and decodes its body.
    pub fn open<B>(&self, method: &str, keys: &KeyRing) -> Result<B, CallError>
    where
        B: DeserializeOwned,
    {
        self.open_as(&question(method), keys)
    }

    /// Verifies `reply` as the answer to this call of `method` and decodes its body.
    pub fn open_answer<B>(&self, method: &str, reply: &Self, keys: &KeyRing) -> Result<B, CallError>
    where
        B: DeserializeOwned,
    {
        if reply.number != self.number {
            return Err(CallError::Mismatch);
        }
        reply.open_as(&answer(method), keys)
    }

    fn seal_as<B>(purpose: &str, number: Uuid, body: &B, keys: &KeyRing) -> Result<Self, CallError>
    where
        B: Serialize,
    {
        let body = serde_json::to_string(body)?;
        let signature = keys.sign(&signed_text(purpose, number, &body));
        Ok(Self {
            number,
            body,
            signature,
        })
    }

    fn open_as<B>(&self, purpose: &str, keys: &KeyRing) -> Result<B, CallError>
    where
        B: DeserializeOwned,
    {
        let signed = signed_text(purpose, self.number, &self.body);
        if !keys.verify(&signed, &self.signature) {
            return Err(CallError::Signature);
        }
        Ok(serde_json::from_str(&self.body)?)
    }
}

fn question(method: &str) -> String {
    format!("{method}/call")
}

fn answer(method: &str) -> String {
    format!("{method}/answer")
}

fn signed_text(purpose: &str, number: Uuid, body: &str) -> Vec<u8> {
    format!("{purpose}\n{number}\n{body}").into_bytes()
}
