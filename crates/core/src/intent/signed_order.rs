//! An order as it stands in the log.

use serde::Deserialize;
use serde::Serialize;

use super::OrderBody;
use crate::security::KeyRing;
use crate::security::Signature;

/// Keeps an operator's signature from being taken for that of another kind of message.
const PURPOSE: &[u8] = b"quetzalrack order\n";

/// Is the exact text of an order with its signature; the text itself is signed, so that no two
/// processes can disagree on how to write it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SignedOrder {
    /// The [`OrderBody`] as JSON text.
    pub body: String,
    /// The operator's signature of the text.
    pub signature: Signature,
    /// The document's text where the order publishes one; bound to the body by its digest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<String>,
}

impl SignedOrder {
    /// Signs an order.
    pub fn sign(
        body: &OrderBody,
        document: Option<String>,
        keys: &KeyRing,
    ) -> Result<Self, serde_json::Error> {
        let text = serde_json::to_string(body)?;
        Ok(Self {
            signature: keys.sign(&message(&text)),
            body: text,
            document,
        })
    }

    /// Tells whether one of the keys signed the order.
    #[must_use]
    pub fn is_authentic(&self, keys: &KeyRing) -> bool {
        keys.verify(&message(&self.body), &self.signature)
    }

    /// Reads the signed text.
    pub fn open(&self) -> Result<OrderBody, serde_json::Error> {
        serde_json::from_str(&self.body)
    }

    /// Returns the order without the document's text, as history keeps it.
    pub fn without_document(&self) -> Self {
        Self {
            document: None,
            ..self.clone()
        }
    }
}

fn message(text: &str) -> Vec<u8> {
    [PURPOSE, text.as_bytes()].concat()
}
