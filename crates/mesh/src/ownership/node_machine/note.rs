//! Lines for the log.

use crate::ownership::Action;
use crate::ownership::Epoch;

/// Is a line for the log: what the node believes from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// What happened, as a short constant.
    pub event: &'static str,
    /// The epoch that it concerns.
    pub epoch: Epoch,
    /// The inputs that decided it.
    pub detail: String,
}

/// Adds a line for the log.
pub(super) fn note(actions: &mut Vec<Action>, event: &'static str, epoch: Epoch, detail: String) {
    actions.push(Action::Note(Note {
        event,
        epoch,
        detail,
    }));
}
