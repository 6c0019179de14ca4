//! Recording the outcomes of calls.

use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::CallGrants;
use super::PendingCall;
use super::PriorGrant;
use crate::model::HeldRange;
use crate::model::ReleasedRange;
use crate::ownership::LeaseTimes;
use crate::ownership::server_grants::KeyCallId;
use crate::ownership::server_grants::KeyCallOutcome;

/// The time from a failed call to the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How many refused grants are remembered. The leader replaces each within one or two node heartbeats.
const MAX_STALE_GRANTS: usize = 64;

impl CallGrants {
    /// Records the outcome of a call. Returns the range that the server released by it, if any.
    pub(in crate::ownership::server_grants) fn record_outcome(
        &mut self,
        now: Moment,
        id: KeyCallId,
        outcome: KeyCallOutcome,
        times: &LeaseTimes,
    ) -> Option<ReleasedRange> {
        let pending = self.pending.remove(&id)?;
        match pending.prior {
            Some(prior) => {
                self.record_grant_outcome(now, &pending, prior, &outcome, times);
                None
            }
            None => self.record_release_outcome(now, &pending, outcome),
        }
    }

    fn record_grant_outcome(
        &mut self,
        now: Moment,
        pending: &PendingCall,
        prior: PriorGrant,
        outcome: &KeyCallOutcome,
        times: &LeaseTimes,
    ) {
        if self.record_token(pending, outcome) {
            if self.stale_grants.len() == MAX_STALE_GRANTS {
                self.stale_grants.remove(0);
            }
            self.stale_grants.push(pending.held);
        }
        if matches!(
            outcome,
            KeyCallOutcome::NotSent | KeyCallOutcome::NoConnection
        ) {
            self.grant_after = now + RETRY_PAUSE;
        }
        let Some(grant) = self.find_mut(&pending.held, &pending.incarnation) else {
            return;
        };
        grant.renew_at = now + RETRY_PAUSE;
        grant.latest_end = match outcome {
            KeyCallOutcome::Granted {
                sent,
                answered,
                time,
            } => {
                grant.earliest_end = grant.earliest_end.max(*sent + *time);
                grant.released = false;
                grant.renew_at = *sent + times.max_hold.min(*time) / 2;
                prior
                    .latest_end
                    .max(*answered + LeaseTimes::plus_clock_drift(*time))
            }
            KeyCallOutcome::Unanswered { closed, time } => {
                grant.unanswered_until = grant
                    .unanswered_until
                    .max(*closed + LeaseTimes::plus_clock_drift(*time));
                prior.latest_end.max(grant.unanswered_until)
            }
            KeyCallOutcome::StaleToken => {
                grant.earliest_end = now;
                prior.latest_end
            }
            KeyCallOutcome::Released(_)
            | KeyCallOutcome::Rejected
            | KeyCallOutcome::NotSent
            | KeyCallOutcome::NoConnection => prior.latest_end,
        };
    }

    /// Records which incarnation may have got the token. Returns whether the grant needs a higher one.
    fn record_token(&mut self, pending: &PendingCall, outcome: &KeyCallOutcome) -> bool {
        let PendingCall {
            held,
            incarnation,
            asked_at,
            ..
        } = pending;
        match outcome {
            KeyCallOutcome::NotSent => return false,
            // A token that was never sent can wait for the next heartbeat.
            KeyCallOutcome::NoConnection => return self.called.opened_before(held).is_some(),
            _ => self.called.record_sent(incarnation, *held, *asked_at),
        }
        if let KeyCallOutcome::Granted { sent, .. } = outcome {
            self.called.record_answered(incarnation, held, *sent);
        }
        *outcome == KeyCallOutcome::StaleToken
    }

    fn record_release_outcome(
        &mut self,
        now: Moment,
        pending: &PendingCall,
        outcome: KeyCallOutcome,
    ) -> Option<ReleasedRange> {
        let KeyCallOutcome::Released(handover) = outcome else {
            self.release_after = now + RETRY_PAUSE;
            return None;
        };
        let HeldRange { keys, fence } = pending.held;
        let grants = std::mem::take(&mut self.grants);
        self.grants = grants
            .into_iter()
            .flat_map(|grant| {
                match grant.incarnation == pending.incarnation && grant.held.fence <= fence {
                    true => grant.after_release(now, &keys),
                    false => vec![grant],
                }
            })
            .collect();
        handover.map(|handover| ReleasedRange { keys, handover })
    }
}
