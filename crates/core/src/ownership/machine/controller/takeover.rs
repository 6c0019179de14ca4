//! How a controller gains authority and takes over the existing leases.

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
    /// Starts granting once a majority of every voter set has acknowledged messages sent within the
    /// last lease time.
    pub(super) fn try_establish(&mut self, context: &Context<'_>, out: &mut Outbox) {
        if !self.has_authority(context) {
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
                earliest_end,
            } = &entry.state
            else {
                continue;
            };
            // If the lease may have ended before the majority, the old controller, which still had
            // its own majority then, may have granted the slice to another node.
            let still_held = context.now < *earliest_end || !context.rules.timely_majority;
            entry.state = if still_held {
                SliceState::Granted(assignment.clone())
            } else {
                SliceState::Unreported(context.now + self.term.unreported_wait.as_duration())
            };
        }
        self.index_fences();
        self.sync_slices(context);
        self.answer_pending_heartbeats(context, out);
    }

    /// Requires only this term's voters once the log records the term as established.
    pub(super) fn narrow_voter_sets(&mut self, context: &Context<'_>) {
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

    /// Returns until when an unreported slice stays ungranted; `None` if there is no need to wait.
    ///
    /// An older controller may assume authority for one lease time after this controller's
    /// majority, and a lease granted at the end of that time lasts one more. Granting earlier would
    /// create a second owner. The first controller of the first term has no predecessor.
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

    /// Records one reported lease.
    pub(super) fn record_lease(
        &mut self,
        context: &Context<'_>,
        node: &NodeName,
        incarnation: Incarnation,
        round_sent: Moment,
        report: &LeaseReport,
    ) {
        let assignment = Assignment {
            node: node.clone(),
            incarnation,
            fence: report.fence,
            confirmed: report.confirmed,
            latest_end: Some(context.now + report.remaining.as_duration() + self.times().margin()),
        };
        let earliest_end = round_sent + report.remaining.as_duration();
        if let Some(entry) = self.slices.get(&report.slice) {
            let known = match &entry.state {
                SliceState::Unreported(_) => None,
                SliceState::Reported { assignment, .. } => Some(assignment.fence),
                _ => return,
            };
            if known.is_some_and(|known| known >= report.fence) {
                return;
            }
        }
        let state = match self.established {
            None => SliceState::Reported {
                assignment,
                earliest_end,
            },
            Some(at) if at < earliest_end || !context.rules.timely_majority => {
                self.fences.insert(report.fence, report.slice.clone());
                SliceState::Granted(assignment)
            }
            Some(_) => return,
        };
        let entry = SliceEntry::open(state, GrantReason::Unreported, None);
        self.slices.insert(report.slice.clone(), entry);
    }

    fn index_fences(&mut self) {
        for (slice, entry) in &self.slices {
            if let Some(assignment) = entry.assignment() {
                self.fences.insert(assignment.fence, slice.clone());
            }
        }
    }
}
