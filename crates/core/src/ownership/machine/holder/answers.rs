//! Handling of answers to heartbeats.

use super::GrantStage;
use super::HeldLease;
use super::Holder;
use super::Outbox;
use crate::explain::Happening;
use crate::explain::LapseReason;
use crate::explain::WithdrawReason;
use crate::ids::Fence;
use crate::ids::SliceId;
use crate::ownership::LeaseTimes;
use crate::ownership::OwnershipAction;
use crate::ownership::message::Answer;
use crate::ownership::message::Grant;
use crate::time::Moment;

impl Holder {
    /// Handles the answer to an unanswered heartbeat of this incarnation. Any other answer, or a
    /// second one to the same heartbeat, is ignored.
    pub(in crate::ownership::machine) fn handle_answer(
        &mut self,
        now: Moment,
        times: LeaseTimes,
        answer: &Answer,
        out: &mut Outbox,
    ) {
        if answer.incarnation != self.own.incarnation {
            return;
        }
        let Some(heartbeat) = self.unanswered.remove(&answer.number) else {
            return;
        };
        self.report_answered = true;
        self.last_answer = Some(now);
        if let Some(profile) = heartbeat.profile_version {
            self.answered_profile = self.answered_profile.max(profile);
        }
        for fence in &heartbeat.released {
            self.released.remove(fence);
        }
        let start = if self.rules.send_time {
            heartbeat.sent_at
        } else {
            now
        };
        let deadline = (start + times.lease()).before(times.margin());
        self.renew(&heartbeat.held, &answer.unrecognised, deadline);
        self.drop_unrecognised(&answer.unrecognised, out);
        for grant in &answer.grants {
            self.handle_grant(now, grant, deadline, out);
        }
        for drain in &answer.drains {
            self.drain(drain.fence, drain.successor.clone(), out);
        }
    }

    fn renew(&mut self, held: &[(SliceId, Fence)], unrecognised: &[Fence], deadline: Moment) {
        for (slice, fence) in held {
            if let Some(lease) = self.leases.get_mut(slice)
                && lease.fence == *fence
                && !unrecognised.contains(fence)
            {
                lease.extend(deadline);
            }
        }
    }

    fn drop_unrecognised(&mut self, unrecognised: &[Fence], out: &mut Outbox) {
        let lost = |(slice, lease): (&SliceId, &HeldLease)| {
            let named = unrecognised.contains(&lease.fence);
            named.then(|| (slice.clone(), lease.fence))
        };
        let lost: Vec<_> = self.leases.iter().filter_map(lost).collect();
        for (slice, fence) in lost {
            self.drop_lease(&slice, fence, LapseReason::NotRecognised, out);
        }
    }

    fn handle_grant(&mut self, now: Moment, grant: &Grant, deadline: Moment, out: &mut Outbox) {
        if self.has_ended(&grant.slice, grant.fence) {
            self.released.insert(grant.fence);
            self.expedite_heartbeat(now);
            return;
        }
        if deadline <= now {
            return;
        }
        match self.leases.get_mut(&grant.slice) {
            Some(lease) if lease.fence == grant.fence => {
                if lease.stage == GrantStage::Activating {
                    lease.extend(deadline);
                }
                return;
            }
            Some(lease) if lease.fence > grant.fence => return,
            Some(lease) => {
                let older = lease.fence;
                self.drop_lease(&grant.slice, older, LapseReason::Replaced, out);
            }
            None => {}
        }
        if self.server.is_none() {
            self.end_grant(&grant.slice, grant.fence);
            out.explain(Happening::GrantWithdrawn {
                slice: grant.slice.clone(),
                fence: grant.fence,
                reason: WithdrawReason::NoServer,
            });
            return;
        }
        let lease = HeldLease {
            fence: grant.fence,
            deadline,
            stage: GrantStage::Activating,
        };
        self.leases.insert(grant.slice.clone(), lease);
        out.push(OwnershipAction::GrantServer {
            slice: grant.slice.clone(),
            fence: grant.fence,
            previous: grant.previous,
        });
    }

    fn has_ended(&self, slice: &SliceId, fence: Fence) -> bool {
        self.ended_grants
            .get(slice)
            .is_some_and(|ended| *ended >= fence)
    }
}
