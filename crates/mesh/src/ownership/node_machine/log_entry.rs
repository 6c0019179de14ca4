//! Log entries of the state machine.

use super::NodeMachine;
use crate::model::GrantedRange;
use crate::ownership::Action;
use crate::ownership::Assignment;
use crate::ownership::Epoch;

/// One line for the log: a decision or a change of what the node believes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The value of the `event` key.
    pub event: &'static str,
    /// The epoch that the event concerns.
    pub epoch: Epoch,
    /// The inputs of the decision.
    pub detail: String,
}

/// Adds a line for the log.
pub(super) fn log_event(
    actions: &mut Vec<Action>,
    event: &'static str,
    epoch: Epoch,
    detail: String,
) {
    actions.push(Action::Log(LogEntry {
        event,
        epoch,
        detail,
    }));
}

impl NodeMachine {
    /// Logs the ranges that an assignment adds to the lease and those that it drops.
    pub(super) fn log_assigned(
        &self,
        epoch: Epoch,
        assignment: &Assignment,
        actions: &mut Vec<Action>,
    ) {
        let known = self.lease.as_ref().map(|lease| &lease.assignment);
        let not_in = |ranges: &[GrantedRange], other: &[GrantedRange]| {
            let missing = ranges
                .iter()
                .filter(|range| other.iter().all(|known| known.held != range.held));
            let missing: Vec<String> = missing.map(|range| range.held.keys.to_string()).collect();
            missing.join(" ")
        };
        let known = known.map_or(&[][..], |known| &known.ranges);
        let added = not_in(&assignment.ranges, known);
        let dropped = not_in(known, &assignment.ranges);
        if !added.is_empty() || !dropped.is_empty() {
            let detail = format!("added: {added}; dropped: {dropped}");
            log_event(actions, "keys_assigned", epoch, detail);
        }
    }
}
