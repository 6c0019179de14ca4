//! Keyed requests, which only the owner of the key's slice may answer.

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::cluster::Member;
use quetzalrack_core::cluster::RoutingVersion;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::refusal::RefusalCode;

use super::incoming_request::IncomingRequest;
use super::remote::AttemptResult;
use super::second_attempts::MAX_ATTEMPTS;
use crate::traffic::hop::slice_in;
use crate::traffic::payload::Payload;
use crate::traffic::refusal::Refusal;
use crate::traffic::traffic_core::TrafficCore;

/// How many times in a row a request is redirected to the owner that a refusing node names.
const MAX_REDIRECTS: usize = 2;
/// The longest wait for an owner. If a lost owner is not replaced within this time, the caller is
/// told to retry later.
const MAX_OWNER_WAIT: Duration = Duration::from_secs(3);
/// The time that must be left before the deadline when the wait for an owner ends.
const MIN_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// The interval at which the views are polled during the wait.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The part of the shared views whose change ends a wait for an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ViewState {
    version: RoutingVersion,
    owned: bool,
}

impl TrafficCore {
    /// Sends a request to the owner of its slice, and to the next owner if the slice moves.
    pub(super) async fn run_owned(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        payload: Payload,
    ) -> AttemptResult {
        let mut lost_response = None;
        let result = self
            .send_to_owner(incoming, payload, &mut lost_response)
            .await;
        result.map_err(|refusal| refusal.merge_earlier(lost_response))
    }

    async fn send_to_owner(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        payload: Payload,
        lost_response: &mut Option<Refusal>,
    ) -> AttemptResult {
        let mut payload = Some(payload);
        let mut hint: Option<NodeName> = None;
        let mut redirects = 0;
        let mut lost = 0;
        let wait_until = self.owner_deadline(incoming);
        loop {
            self.check_poison(incoming)?;
            let slice = self.slice(incoming);
            let before = self.view_state(slice.as_ref());
            let owner = slice
                .as_ref()
                .and_then(|slice| self.owner(slice, hint.take()));
            let Some(owner) = owner else {
                self.wait_for_change(incoming, before, wait_until).await?;
                continue;
            };
            let Some(sent) = payload.take() else {
                return Err(RefusalCode::NoOwner.into());
            };
            payload = sent.try_clone();
            let started = self.clock.now();
            let refusal = match self.send_to(&owner, incoming.attempt(sent, slice)).await {
                Ok(response) => {
                    let now = self.clock.now();
                    let latency = now.since(started);
                    self.ingress.retries.record(&incoming.matched, now, latency);
                    return Ok(response);
                }
                Err(refusal) => refusal,
            };
            match refusal.code {
                RefusalCode::NotOwner | RefusalCode::StaleFence => {
                    let next = refusal.owner.filter(|next| *next != owner.node);
                    if next.is_some() && redirects < MAX_REDIRECTS {
                        hint = next;
                        redirects += 1;
                        continue;
                    }
                }
                RefusalCode::ServerUnreachable | RefusalCode::NotReady => {}
                // Repeatable work whose response was lost is retried; the retry finds the next
                // owner if this one is gone.
                RefusalCode::AnswerLost
                    if lost + 1 < MAX_ATTEMPTS
                        && self.may_retry_lost(incoming, payload.as_ref()) =>
                {
                    lost += 1;
                    *lost_response = Some(refusal);
                    continue;
                }
                _ => return Err(refusal),
            }
            // The work did not run: the slice is moving, or its owner is gone.
            self.wait_for_change(incoming, before, wait_until).await?;
            redirects = 0;
        }
    }

    fn may_retry_lost(&self, incoming: &IncomingRequest, payload: Option<&Payload>) -> bool {
        let service = &incoming.matched.service.name;
        let repeatable = incoming.matched.route.repeatable && payload.is_some();
        repeatable && self.ingress.retries.withdraw(service)
    }

    fn slice(&self, incoming: &IncomingRequest) -> Option<SliceId> {
        let routing = self.view.routing.load();
        slice_in(&incoming.matched, &incoming.headers, &routing).map(|(slice, _)| slice)
    }

    /// Returns the owner: this node if it holds the lease, else the node that a refusal named or
    /// the routing table's owner.
    fn owner(&self, slice: &SliceId, hint: Option<NodeName>) -> Option<Member> {
        let routing = self.view.routing.load();
        let owner = match self.owns(slice) {
            true => self.config.node.clone(),
            false => {
                let slices = routing.services.get(&slice.service)?;
                hint.or_else(|| slices.owners.get(&slice.index).cloned())?
            }
        };
        routing.nodes.get(&owner).map(|node| node.member.clone())
    }

    fn owns(&self, slice: &SliceId) -> bool {
        let leases = self.view.leases.load();
        let lease = leases.leases.get(slice);
        lease.is_some_and(|lease| lease.admits && lease.is_valid(self.clock.now()))
    }

    fn view_state(&self, slice: Option<&SliceId>) -> ViewState {
        ViewState {
            version: self.view.routing.load().version,
            owned: slice.is_some_and(|slice| self.owns(slice)),
        }
    }

    /// Waits until this node has received a routing table. A node that has just started knows no
    /// backend server yet, which does not mean that there is none.
    pub(super) async fn wait_for_routing_table(
        &self,
        incoming: &IncomingRequest,
    ) -> Result<(), Refusal> {
        let wait_until = self.owner_deadline(incoming);
        loop {
            let before = self.view_state(None);
            if before.version != RoutingVersion::default() {
                return Ok(());
            }
            let changed = self.wait_for_change(incoming, before, wait_until).await;
            changed.map_err(|_| RefusalCode::NotReady)?;
        }
    }

    fn owner_deadline(&self, incoming: &IncomingRequest) -> Moment {
        let latest = incoming.deadline.before(MIN_RESPONSE_TIME);
        latest.min(self.clock.now() + MAX_OWNER_WAIT)
    }

    /// Waits until the views change; refuses at `wait_until`, or if too many requests wait already.
    async fn wait_for_change(
        &self,
        incoming: &IncomingRequest,
        before: ViewState,
        wait_until: Moment,
    ) -> Result<(), Refusal> {
        let Ok(_permit) = self.ingress.owner_waiters.try_acquire() else {
            return Err(RefusalCode::NoOwner.into());
        };
        loop {
            if self.clock.now() >= wait_until {
                return Err(RefusalCode::NoOwner.into());
            }
            tokio::time::sleep(VIEW_POLL_INTERVAL).await;
            if self.view_state(self.slice(incoming).as_ref()) != before {
                return Ok(());
            }
        }
    }
}
