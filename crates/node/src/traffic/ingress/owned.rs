//! Keyed requests, which only the owner of the key's slice may answer.

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::cluster::Member;
use quetzalrack_core::cluster::RoutingVersion;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::refusal::RefusalCode;

use super::call::Call;
use super::remote::Answer;
use crate::traffic::hop::slice_in;
use crate::traffic::payload::Payload;
use crate::traffic::refusal::Refusal;
use crate::traffic::traffic_core::TrafficCore;

/// How many times in a row a request is redirected to the owner that a refusing node names.
const HOPS: usize = 2;
/// The longest wait for an owner. If a lost owner is not replaced within this time, the caller is
/// told to retry later.
const OWNER_WAIT: Duration = Duration::from_secs(3);
/// The time that must be left before the deadline when the wait for an owner ends.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// The interval at which the views are polled during the wait.
const LOOK: Duration = Duration::from_millis(10);

/// The part of the shared views whose change ends a wait for an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seen {
    routing: RoutingVersion,
    own: bool,
}

impl TrafficCore {
    /// Sends a request to the owner of its slice, and to the next owner if the slice moves.
    pub(super) async fn run_owned(self: &Arc<Self>, call: &Call, payload: Payload) -> Answer {
        let mut lost = None;
        let answer = self.follow_owner(call, payload, &mut lost).await;
        answer.map_err(|refusal| refusal.after(lost))
    }

    async fn follow_owner(
        self: &Arc<Self>,
        call: &Call,
        payload: Payload,
        lost: &mut Option<Refusal>,
    ) -> Answer {
        let mut payload = Some(payload);
        let mut named: Option<NodeName> = None;
        let mut hops = 0;
        let give_up = self.owner_deadline(call);
        loop {
            let slice = self.slice(call);
            let seen = self.seen(slice.as_ref());
            let owner = slice
                .as_ref()
                .and_then(|slice| self.owner(slice, named.take()));
            let Some(owner) = owner else {
                self.wait_for_change(call, seen, give_up).await?;
                continue;
            };
            let Some(sent) = payload.take() else {
                return Err(RefusalCode::NoOwner.into());
            };
            payload = sent.again();
            let started = self.clock.now();
            let refusal = match self.send_to(&owner, call.attempt(sent, slice)).await {
                Ok(answer) => {
                    let now = self.clock.now();
                    let latency = now.since(started);
                    self.ingress.seconds.answered(&call.matched, now, latency);
                    return Ok(answer);
                }
                Err(refusal) => refusal,
            };
            match refusal.code {
                RefusalCode::NotOwner | RefusalCode::StaleFence => {
                    let next = refusal.owner.filter(|next| *next != owner.node);
                    if next.is_some() && hops < HOPS {
                        named = next;
                        hops += 1;
                        continue;
                    }
                }
                RefusalCode::ServerUnreachable | RefusalCode::NotReady => {}
                // Repeatable work whose response was lost is retried; the retry finds the next
                // owner if this one is gone.
                RefusalCode::AnswerLost if self.may_repeat(call, payload.as_ref()) => {
                    *lost = Some(refusal);
                    continue;
                }
                _ => return Err(refusal),
            }
            // The work did not run: the slice is moving, or its owner is gone.
            self.wait_for_change(call, seen, give_up).await?;
            hops = 0;
        }
    }

    fn may_repeat(&self, call: &Call, payload: Option<&Payload>) -> bool {
        let service = &call.matched.service.name;
        let repeatable = call.matched.route.repeatable && payload.is_some();
        repeatable && self.ingress.seconds.withdraw(service)
    }

    fn slice(&self, call: &Call) -> Option<SliceId> {
        let routing = self.view.routing.load();
        slice_in(&call.matched, &call.headers, &routing).map(|(slice, _)| slice)
    }

    /// Returns the owner: this node if it holds the lease, else the node that a refusal named or
    /// the routing table's owner.
    fn owner(&self, slice: &SliceId, named: Option<NodeName>) -> Option<Member> {
        let routing = self.view.routing.load();
        let owner = match self.owns(slice) {
            true => self.config.node.clone(),
            false => {
                let slices = routing.services.get(&slice.service)?;
                named.or_else(|| slices.owners.get(&slice.index).cloned())?
            }
        };
        routing.nodes.get(&owner).map(|node| node.member.clone())
    }

    fn owns(&self, slice: &SliceId) -> bool {
        let leases = self.view.leases.load();
        let lease = leases.leases.get(slice);
        lease.is_some_and(|lease| lease.admits && lease.is_valid(self.clock.now()))
    }

    fn seen(&self, slice: Option<&SliceId>) -> Seen {
        Seen {
            routing: self.view.routing.load().version,
            own: slice.is_some_and(|slice| self.owns(slice)),
        }
    }

    /// Waits until this node has received a routing table. A node that has just started knows no
    /// backend server yet, which does not mean that there is none.
    pub(super) async fn wait_for_table(&self, call: &Call) -> Result<(), Refusal> {
        let give_up = self.owner_deadline(call);
        loop {
            let seen = self.seen(None);
            if seen.routing != RoutingVersion::default() {
                return Ok(());
            }
            let changed = self.wait_for_change(call, seen, give_up).await;
            changed.map_err(|_| RefusalCode::NotReady)?;
        }
    }

    fn owner_deadline(&self, call: &Call) -> Moment {
        let latest = call.deadline.before(ANSWER_TIME);
        latest.min(self.clock.now() + OWNER_WAIT)
    }

    /// Waits until the views change; refuses at `wait_until`, or if too many requests wait already.
    async fn wait_for_change(
        &self,
        call: &Call,
        seen: Seen,
        give_up: Moment,
    ) -> Result<(), Refusal> {
        let Ok(_place) = self.ingress.waiters.try_acquire() else {
            return Err(RefusalCode::NoOwner.into());
        };
        loop {
            if self.clock.now() >= give_up {
                return Err(RefusalCode::NoOwner.into());
            }
            tokio::time::sleep(LOOK).await;
            if self.seen(self.slice(call).as_ref()) != seen {
                return Ok(());
            }
        }
    }
}
