//! An append that is not confirmed yet.

use super::RecordKind;
use crate::ids::RecordId;
use crate::time::Moment;

/// A record that is not known to be in the log yet.
#[derive(Clone, Debug)]
pub(super) struct PendingAppend {
    pub(super) id: RecordId,
    pub(super) kind: RecordKind,
    pub(super) data: Vec<u8>,
    pub(super) retry_at: Moment,
}
