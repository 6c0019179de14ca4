//! One kept order in a snapshot.

use serde::Deserialize;
use serde::Serialize;

use super::AcceptedOrder;
use super::SignedOrder;
use crate::ids::EnvironmentName;
use crate::ids::Offset;
use crate::security::KeyRing;

/// Is one kept order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct SnapshotOrder {
    /// Where it stood in the log.
    pub offset: Offset,
    /// The signed text.
    pub signed: SignedOrder,
}

impl SnapshotOrder {
    /// Opens the order; none if an operator of this environment did not sign it.
    ///
    /// An order signed with a key that was replaced since can't be checked; the signature of the
    /// whole snapshot then stands for it, or a replaced key would lose the document in force.
    pub fn open(&self, environment: &EnvironmentName, keys: &KeyRing) -> Option<AcceptedOrder> {
        let was_replaced = !keys.has(&self.signed.signature.key);
        if !was_replaced && !self.signed.is_authentic(keys) {
            return None;
        }
        let body = self.signed.open().ok()?;
        (body.environment == *environment).then(|| AcceptedOrder {
            offset: self.offset,
            body,
            signed: self.signed.clone(),
        })
    }
}

impl From<&AcceptedOrder> for SnapshotOrder {
    fn from(order: &AcceptedOrder) -> Self {
        Self {
            offset: order.offset,
            signed: order.signed.clone(),
        }
    }
}
