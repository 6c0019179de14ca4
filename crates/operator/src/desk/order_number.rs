//! The identity of an order's record.

use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::ids::OperatorName;
use quetzalrack_core::ids::RecordId;
use sha2::Digest;
use sha2::Sha256;
use uuid::Builder;

use super::OrderDraft;

/// Returns the identity of an order: the same command on the same base has the same one.
///
/// An operator who was told "unknown" runs the command again, perhaps from another host, and
/// nothing was kept in between. With a random identity the order could then stand twice in the log
/// as two orders; with this one every reader drops the second. `attempt` tells apart orders that
/// were rejected for a reason other than their base and are given again on the same base.
pub(super) fn order_number(
    environment: &EnvironmentName,
    operator: &OperatorName,
    draft: &OrderDraft,
    attempt: u32,
) -> Result<RecordId, serde_json::Error> {
    let text = serde_json::to_vec(&(environment, operator, draft.base, &draft.order, attempt))?;
    let mut bytes = [0; size_of::<u128>()];
    bytes.copy_from_slice(&Sha256::digest(text)[..size_of::<u128>()]);
    Ok(RecordId(Builder::from_custom_bytes(bytes).into_uuid()))
}
