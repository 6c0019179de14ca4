//! A slice's memory on its way to the next holder.

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;
use serde::Deserialize;
use serde::Serialize;

/// Carries the memory of finished work of one slice from its old holder to its new one, so that
/// work that must not repeat is recognised after a graceful move.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// The slice.
    pub slice: SliceId,
    /// The old holder's fence, which the next grant names as its previous one.
    pub fence: Fence,
    /// The gate's memory, encoded by the traffic module.
    #[serde(rename = "memory", with = "hex")]
    pub state: Vec<u8>,
}
