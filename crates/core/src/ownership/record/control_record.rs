//! A record of the control stream.

use serde::Deserialize;
use serde::Serialize;

use super::ControlBody;
use crate::ids::RecordId;

/// One record of the control stream. Readers ignore a second record with the same id, so an append
/// whose answer was lost can be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlRecord {
    /// Identifies the record across retries.
    pub id: RecordId,
    /// The content.
    pub body: ControlBody,
}
