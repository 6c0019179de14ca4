//! What a reader of the intent stream asks for.

use std::sync::Arc;

use super::InForce;
use super::IntentHappening;
use crate::ids::RecordId;

/// Is one output of [`super::IntentState`].
#[derive(Clone, Debug)]
pub enum IntentAction {
    /// Newer intent is in force in the followed stage.
    InForce(Arc<InForce>),
    /// Append a record to the intent stream; a lost answer needs no retry, it is made again when
    /// it was not read back.
    Append {
        /// The record's identity.
        id: RecordId,
        /// The record's JSON text.
        data: Vec<u8>,
    },
    /// Something worth explaining happened.
    Explain(IntentHappening),
}
