//! Lines for the log.

use super::NodeMachine;
use crate::model::GrantedRange;
use crate::ownership::Action;
use crate::ownership::Assignment;
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

impl NodeMachine {
    /// Notes which ranges an order adds to the lease or leaves out.
    pub(super) fn note_assigned(
        &self,
        epoch: Epoch,
        assignment: &Assignment,
        actions: &mut Vec<Action>,
    ) {
        let known = self.lease.as_ref().map(|lease| &lease.assignment);
        let lacks = |ranges: &[GrantedRange], other: &[GrantedRange]| {
            let missing = ranges
                .iter()
                .filter(|range| other.iter().all(|known| known.held != range.held));
            let missing: Vec<String> = missing.map(|range| range.held.keys.to_string()).collect();
            missing.join(" ")
        };
        let known = known.map_or(&[][..], |known| &known.ranges);
        let added = lacks(&assignment.ranges, known);
        let dropped = lacks(known, &assignment.ranges);
        if !added.is_empty() || !dropped.is_empty() {
            let detail = format!("added: {added}; dropped: {dropped}");
            note(actions, "keys_assigned", epoch, detail);
        }
    }
}
