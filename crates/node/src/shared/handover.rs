//! A slice's idempotency state, sent to the next holder.

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;
use serde::Deserialize;
use serde::Serialize;

/// The idempotency state of one slice, sent from its old holder to its new one, so that a request
/// that must not run twice is recognised after a graceful move.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// The slice.
    pub slice: SliceId,
    /// The old holder's fence, which the next grant names as its previous one.
    pub fence: Fence,
    /// The idempotency state, encoded by the traffic module.
    #[serde(rename = "memory", with = "hex")]
    pub state: Vec<u8>,
}
