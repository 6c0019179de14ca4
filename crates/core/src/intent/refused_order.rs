//! An order that was rejected and must stay so.

use serde::Deserialize;
use serde::Serialize;

use super::Stage;
use crate::ids::RecordId;
use crate::ids::Version;

/// Remembers a rejected order until its base is overtaken.
///
/// Without it a second copy of the record, appended after a lost answer, could be accepted when
/// something else had changed in between (a promotion whose document reached trial meanwhile): a
/// reader that saw the first one and a reader that started later would disagree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusedOrder {
    /// The record's identity.
    pub id: RecordId,
    /// Its stage.
    pub stage: Stage,
    /// Its base.
    pub base: Version,
}
