//! Answers to heartbeats.

use super::HeldLease;
use super::Holder;
use super::Outbox;
use super::Stage;
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
    /// Takes an answer to a heartbeat of this life; an answer to any other heartbeat, or a second
    /// one to the same, changes nothing.
    pub(in crate::ownership::machine) fn take_answer(
        &mut self,
        now: Moment,
        times: LeaseTimes,
        answer: &Answer,
        out: &mut Outbox,
    ) {
        if answer.incarnation != self.own.incarnation {
            return;
        }
        let Some(heartbeat) = self.sent.remove(&answer.number) else {
            return;
        };
        self.answered = true;
        self.answered_at = Some(now);
        if let Some(profile) = heartbeat.profile {
            self.known_profile = self.known_profile.max(profile);
        }
        for fence in &heartbeat.released {
            self.released.remove(fence);
        }
        let start = if self.rules.send_time {
            heartbeat.sent
        } else {
            now
        };
        let deadline = (start + times.lease()).before(times.margin());
        self.renew(&heartbeat.held, &answer.unrecognised, deadline);
        self.drop_unrecognised(&answer.unrecognised, out);
        for grant in &answer.grants {
            self.take_grant(now, grant, deadline, out);
        }
        for drain in &answer.drains {
            self.drain(drain.fence, drain.successor.clone(), out);
        }
    }

    fn renew(&mut self, held: &[(SliceId, Fence)], dropped: &[Fence], deadline: Moment) {
        for (slice, fence) in held {
            if let Some(lease) = self.leases.get_mut(slice)
                && lease.fence == *fence
                && !dropped.contains(fence)
            {
                lease.extend(deadline);
            }
        }
    }

    fn drop_unrecognised(&mut self, dropped: &[Fence], out: &mut Outbox) {
        let lost = |(slice, lease): (&SliceId, &HeldLease)| {
            let named = dropped.contains(&lease.fence);
            named.then(|| (slice.clone(), lease.fence))
        };
        let lost: Vec<_> = self.leases.iter().filter_map(lost).collect();
        for (slice, fence) in lost {
            self.forget(&slice, fence, LapseReason::NotRecognised, out);
        }
    }

    fn take_grant(&mut self, now: Moment, grant: &Grant, deadline: Moment, out: &mut Outbox) {
        if self.has_ended(&grant.slice, grant.fence) {
            self.released.insert(grant.fence);
            self.hurry(now);
            return;
        }
        if deadline <= now {
            return;
        }
        match self.leases.get_mut(&grant.slice) {
            Some(lease) if lease.fence == grant.fence => {
                if lease.stage == Stage::Activating {
                    lease.extend(deadline);
                }
                return;
            }
            Some(lease) if lease.fence > grant.fence => return,
            Some(lease) => {
                let older = lease.fence;
                self.forget(&grant.slice, older, LapseReason::Replaced, out);
            }
            None => {}
        }
        if self.server.is_none() {
            self.give_back(&grant.slice, grant.fence);
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
            stage: Stage::Activating,
        };
        self.leases.insert(grant.slice.clone(), lease);
        out.push(OwnershipAction::GrantServer {
            slice: grant.slice.clone(),
            fence: grant.fence,
            previous: grant.previous,
        });
    }

    fn has_ended(&self, slice: &SliceId, fence: Fence) -> bool {
        self.ended.get(slice).is_some_and(|ended| *ended >= fence)
    }
}
