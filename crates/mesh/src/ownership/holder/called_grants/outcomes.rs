//! What follows from the outcome of a call.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::Before;
use super::CalledGrants;
use super::Pending;
use crate::model::FreedRange;
use crate::model::HeldRange;
use crate::ownership::LeaseTimes;
use crate::ownership::holder::KeyCallId;
use crate::ownership::holder::KeyCallOutcome;

/// How soon a call follows one that failed.
const AGAIN: Duration = Duration::from_millis(150);
/// How many refused grants are remembered; the leader replaces each within a beat or two.
const OUTBID_KEPT: usize = 64;

impl CalledGrants {
    /// Takes the outcome of a call; returns what the server has released by it.
    pub(in crate::ownership::holder) fn ended(
        &mut self,
        now: Moment,
        id: KeyCallId,
        outcome: KeyCallOutcome,
        times: &LeaseTimes,
    ) -> Option<FreedRange> {
        let pending = self.pending.remove(&id)?;
        match pending.before {
            Some(before) => {
                self.grant_ended(now, &pending, before, &outcome, times);
                None
            }
            None => self.release_ended(now, &pending, outcome),
        }
    }

    fn grant_ended(
        &mut self,
        now: Moment,
        pending: &Pending,
        before: Before,
        outcome: &KeyCallOutcome,
        times: &LeaseTimes,
    ) {
        if *outcome == KeyCallOutcome::Outbid {
            if self.outbid.len() == OUTBID_KEPT {
                self.outbid.remove(0);
            }
            self.outbid.push(pending.held);
        }
        let Some(grant) = self.find_mut(&pending.held, &pending.life) else {
            return;
        };
        grant.due = now + AGAIN;
        grant.until = match outcome {
            KeyCallOutcome::Granted {
                sent,
                answered,
                time,
            } => {
                grant.serves = grant.serves.max(*sent + *time);
                grant.released = false;
                grant.due = *sent + times.max_hold.min(*time) / 2;
                before
                    .until
                    .max(*answered + LeaseTimes::plus_clock_drift(*time))
            }
            KeyCallOutcome::Unanswered { closed, time } => {
                grant.doubt = grant
                    .doubt
                    .max(*closed + LeaseTimes::plus_clock_drift(*time));
                before.until.max(grant.doubt)
            }
            KeyCallOutcome::Outbid => {
                grant.serves = now;
                before.until
            }
            KeyCallOutcome::Released(_) | KeyCallOutcome::Rejected | KeyCallOutcome::NotSent => {
                before.until
            }
        };
    }

    fn release_ended(
        &mut self,
        now: Moment,
        pending: &Pending,
        outcome: KeyCallOutcome,
    ) -> Option<FreedRange> {
        let KeyCallOutcome::Released(handover) = outcome else {
            self.release_after = now + AGAIN;
            return None;
        };
        let HeldRange { keys, fence } = pending.held;
        let grants = std::mem::take(&mut self.grants);
        self.grants = grants
            .into_iter()
            .flat_map(
                |grant| match grant.life == pending.life && grant.held.fence <= fence {
                    true => grant.after_release(now, &keys),
                    false => vec![grant],
                },
            )
            .collect();
        handover.map(|handover| FreedRange { keys, handover })
    }
}
