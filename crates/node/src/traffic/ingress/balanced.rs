//! Load-balanced requests, which any backend server of a service may answer.

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::cluster::Member;
use quetzalrack_core::cluster::RoutingNode;
use quetzalrack_core::cluster::ServerState;
use quetzalrack_core::document::spec::Method;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::RequestId;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_core::traffic::refusal::WorkOutcome;
use uuid::Uuid;

use super::incoming_request::IncomingRequest;
use super::remote::AttemptResult;
use super::second_attempts::MAX_ATTEMPTS;
use crate::traffic::payload::Payload;
use crate::traffic::refusal::Refusal;
use crate::traffic::traffic_core::TrafficCore;

/// The node chosen for a request, and a straggler that gets a copy so that its latency is measured.
struct Target {
    member: Member,
    probe: Option<Member>,
}

/// The nodes to which a request was sent.
#[derive(Debug, Default)]
struct TriedNodes {
    all: Vec<NodeName>,
    /// Those of them that have certainly no usable server now. Others that refuse a suspected request are not
    /// replaced: copies of it may be under way there.
    without_server: Vec<NodeName>,
    /// Whether one was chosen again that knew of more ends of servers.
    chosen_again: bool,
}

impl TriedNodes {
    /// Records the refusal of the node tried last.
    fn record_refusal(&mut self, refusal: &Refusal) {
        match refusal.code {
            RefusalCode::ServerUnreachable | RefusalCode::NotReady | RefusalCode::OutOfService => {
                self.without_server.extend(self.all.last().cloned());
            }
            // The node knew of more ends than this one, which may now choose it again.
            RefusalCode::Suspected if !self.chosen_again && !refusal.ends.list.is_empty() => {
                self.chosen_again = true;
                self.all.pop();
            }
            _ => {}
        }
    }
}

impl TrafficCore {
    /// Sends a request to a chosen node, and retries at others as far as the retry budget allows.
    pub(super) async fn run_balanced(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        payload: Payload,
    ) -> AttemptResult {
        self.wait_for_routing_table(incoming).await?;
        let mut tried = TriedNodes::default();
        let mut payload = Some(payload);
        let mut earlier = None;
        while let Some(sent) = payload.take() {
            if let Err(refusal) = self.check_poison(incoming) {
                return Err(refusal.merge_earlier(earlier));
            }
            let Some(target) = self.choose_target(incoming, &tried) else {
                break;
            };
            tried.all.push(target.member.node.clone());
            payload = sent.try_clone();
            let is_suspected = self.is_suspected(incoming);
            if let (Some(straggler), Some(copy)) =
                (target.probe.filter(|_| !is_suspected), sent.try_clone())
            {
                self.send_probe(incoming, straggler, copy);
            }
            let refusal = match self
                .attempt_hedged(incoming, target.member, sent, &mut tried)
                .await
            {
                Ok(response) => return Ok(response),
                Err(refusal) => refusal,
            };
            tried.record_refusal(&refusal);
            let retry = may_retry(&refusal) && tried.all.len() < MAX_ATTEMPTS && payload.is_some();
            earlier = Some(refusal.merge_earlier(earlier));
            let service = &incoming.matched.service.name;
            if !retry || !self.ingress.retries.withdraw(service) {
                break;
            }
        }
        Err(earlier.unwrap_or_else(|| RefusalCode::NoServer.into()))
    }

    /// Sends a straggler a copy of a request, so that its latency is measured. Nobody waits for the
    /// response; the copy is charged to the retry budget like every second attempt.
    fn send_probe(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        straggler: Member,
        payload: Payload,
    ) {
        let service = &incoming.matched.service.name;
        if incoming.matched.route.method != Method::Get || !self.ingress.retries.withdraw(service) {
            return;
        }
        let core = Arc::clone(self);
        let mut hop = incoming.attempt(payload, None);
        // The copy has its own request id: its outcome must not affect what the caller is told
        // about the original request.
        hop.request = RequestId(Uuid::new_v4());
        tokio::spawn(async move {
            let _ = core.send_to(&straggler, hop).await;
        });
    }

    /// Makes one attempt and, if it is slow, a concurrent second one. The attempt that is not
    /// needed is dropped, which cancels its work.
    async fn attempt_hedged(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        target: Member,
        payload: Payload,
        tried: &mut TriedNodes,
    ) -> AttemptResult {
        let started = self.clock.now();
        let delay = self.hedge_delay(incoming, &payload);
        let copy = payload.try_clone();
        let mut first = std::pin::pin!(self.send_to(&target, incoming.attempt(payload, None)));
        let (Some(delay), Some(copy)) = (delay, copy) else {
            let result = first.await;
            self.record_latency(incoming, started, &result);
            return result;
        };
        tokio::select! {
            result = &mut first => {
                self.record_latency(incoming, started, &result);
                return result;
            }
            () = tokio::time::sleep(delay) => {}
        }
        let service = &incoming.matched.service.name;
        let second = self
            .choose_target(incoming, tried)
            .filter(|_| self.ingress.retries.withdraw(service));
        let Some(Target { member: second, .. }) = second else {
            let result = first.await;
            self.record_latency(incoming, started, &result);
            return result;
        };
        tried.all.push(second.node.clone());
        let mut hedge = std::pin::pin!(self.send_to(&second, incoming.attempt(copy, None)));
        let result = tokio::select! {
            result = &mut first => match result {
                Ok(response) => Ok(response),
                Err(refusal) => hedge.await.map_err(|last| last.merge_earlier(Some(refusal))),
            },
            result = &mut hedge => match result {
                Ok(response) => {
                    self.ingress.balancer().record_abandoned(&target.node);
                    Ok(response)
                }
                Err(refusal) => first.await.map_err(|last| last.merge_earlier(Some(refusal))),
            },
        };
        self.record_latency(incoming, started, &result);
        result
    }

    fn hedge_delay(&self, incoming: &IncomingRequest, payload: &Payload) -> Option<Duration> {
        let is_single = !matches!(payload, Payload::Buffered(_)) || self.is_suspected(incoming);
        if !self.config.hedging || is_single {
            return None;
        }
        self.ingress.retries.hedge_delay(&incoming.matched)
    }

    fn record_latency(&self, incoming: &IncomingRequest, started: Moment, result: &AttemptResult) {
        if result.is_ok() {
            let now = self.clock.now();
            let latency = now.since(started);
            self.ingress.retries.record(&incoming.matched, now, latency);
        }
    }

    fn choose_target(&self, incoming: &IncomingRequest, tried: &TriedNodes) -> Option<Target> {
        let routing = self.view.routing.load();
        let mut nodes: Vec<&RoutingNode> = routing
            .nodes
            .values()
            .filter(|node| self.is_available(incoming, node))
            .filter(|node| !tried.without_server.contains(&node.member.node))
            .collect();
        self.retain_trial_nodes(incoming, &mut nodes);
        nodes.retain(|node| !tried.all.contains(&node.member.node));
        let now = self.clock.now();
        let chosen = self.ingress.balancer().choose(now, &nodes)?;
        let member = |name: &NodeName| Some(routing.nodes.get(name)?.member.clone());
        Some(Target {
            member: member(&chosen.node)?,
            probe: chosen.probe.as_ref().and_then(member),
        })
    }

    fn is_available(&self, incoming: &IncomingRequest, node: &RoutingNode) -> bool {
        let member = &node.member;
        let Some(server) = &member.server else {
            return false;
        };
        let intent = self.view.intent.load();
        let intent_allows = intent
            .as_ref()
            .is_none_or(|intent| intent.takes_work(&member.zone, server));
        member.service.as_ref() == Some(&incoming.matched.service.name)
            && node.in_service
            && node.state != ServerState::Draining
            && intent_allows
    }
}

/// Tells whether to retry: the work did not run, or it may run twice and its response was lost.
fn may_retry(refusal: &Refusal) -> bool {
    match refusal.code {
        RefusalCode::DeadlineNotRun => false,
        RefusalCode::AnswerLost => true,
        code => code.outcome() == WorkOutcome::NotRun && code.is_transient(),
    }
}
