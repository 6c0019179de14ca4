//! How a controller comes to its authority.

use super::Assignment;
use super::Context;
use super::Controller;
use super::Outbox;
use super::SliceEntry;
use super::SliceState;
use crate::explain::GrantReason;
use crate::explain::Happening;
use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::ids::Rank;
use crate::ownership::message::LeaseReport;
use crate::time::Moment;

impl Controller {
    /// Begins to govern once a majority of every voter set acknowledged messages of the last lease
    /// time.
    pub(super) fn try_establish(&mut self, context: &Context<'_>, out: &mut Outbox) {
        if !self.is_in_authority(context) {
            return;
        }
        self.established = Some(context.now);
        out.explain(Happening::ControllerEstablished {
            term: self.ballot.term,
            rank: self.ballot.rank,
        });
        for entry in self.slices.values_mut() {
            let SliceState::Reported {
                assignment,
                earliest,
            } = &entry.state
            else {
                continue;
            };
            // A lease that may have ended before the majority may have been granted to another
            // node by the old controller, which still had its own majority then.
            let extends = context.now < *earliest || !context.rules.timely_majority;
            entry.state = if extends {
                SliceState::Granted(assignment.clone())
            } else {
                SliceState::Waiting(context.now + self.term.unreported_wait.as_duration())
            };
        }
        self.index_fences();
        self.sync_slices(context);
        self.answer_waiting(context, out);
    }

    /// Uses only this term's voters once the log says that the term is established.
    pub(super) fn narrow_quorums(&mut self, context: &Context<'_>) {
        let established = context
            .log
            .term()
            .is_some_and(|state| state.established && state.term() == self.ballot.term);
        if established && !self.term.established {
            let mut term = self.term.as_ref().clone();
            term.established = true;
            term.earlier_voters.clear();
            self.term = term.into();
            self.authority.narrow(self.term.voter_names());
        }
    }

    /// Returns until when a slice waits that nobody reports.
    ///
    /// An older controller may believe in its authority for one lease after this one's majority,
    /// and a lease given at its end lasts another. Granting sooner would make a second owner. The
    /// controller of the very first term has none before it.
    pub(super) fn unreported_until(&self, context: &Context<'_>) -> Option<Moment> {
        let established = self.established?;
        if self.term.is_first() && self.ballot.rank == Rank(0) {
            return None;
        }
        let wait = if context.rules.double_wait {
            self.term.unreported_wait.as_duration()
        } else {
            self.times().lease()
        };
        Some(established + wait)
    }

    /// Takes the report of one lease.
    pub(super) fn take_holding(
        &mut self,
        context: &Context<'_>,
        node: &NodeName,
        incarnation: Incarnation,
        heard: Moment,
        holding: &LeaseReport,
    ) {
        let assignment = Assignment {
            node: node.clone(),
            incarnation,
            fence: holding.fence,
            confirmed: holding.confirmed,
            end: Some(context.now + holding.remaining.as_duration() + self.times().margin()),
        };
        let earliest = heard + holding.remaining.as_duration();
        if let Some(entry) = self.slices.get(&holding.slice) {
            let known = match &entry.state {
                SliceState::Waiting(_) => None,
                SliceState::Reported { assignment, .. } => Some(assignment.fence),
                _ => return,
            };
            if known.is_some_and(|known| known >= holding.fence) {
                return;
            }
        }
        let state = match self.established {
            None => SliceState::Reported {
                assignment,
                earliest,
            },
            Some(at) if at < earliest || !context.rules.timely_majority => {
                self.fences.insert(holding.fence, holding.slice.clone());
                SliceState::Granted(assignment)
            }
            Some(_) => return,
        };
        let entry = SliceEntry::open(state, GrantReason::Unreported, None);
        self.slices.insert(holding.slice.clone(), entry);
    }

    fn index_fences(&mut self) {
        for (slice, entry) in &self.slices {
            if let Some(assignment) = entry.assignment() {
                self.fences.insert(assignment.fence, slice.clone());
            }
        }
    }
}
