//! Requests that any backend server of a service may answer.

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

use super::call::Call;
use super::remote::Answer;
use crate::traffic::payload::Payload;
use crate::traffic::refusal::Refusal;
use crate::traffic::traffic_core::TrafficCore;

/// How many nodes one request may try, hedges included.
const ATTEMPTS: usize = 3;

/// Is where a request goes, and a straggler that is measured beside it.
struct Target {
    member: Member,
    measured: Option<Member>,
}

impl TrafficCore {
    /// Sends a request to a chosen node, and to another if that is worth it and within budget.
    pub(super) async fn run_anywhere(self: &Arc<Self>, call: &Call, payload: Payload) -> Answer {
        self.wait_for_table(call).await?;
        let mut tried = Vec::new();
        let mut payload = Some(payload);
        let mut refused = None;
        while let Some(sent) = payload.take() {
            let Some(target) = self.choose(call, &tried) else {
                break;
            };
            tried.push(target.member.node.clone());
            payload = sent.again();
            if let (Some(straggler), Some(copy)) = (target.measured, sent.again()) {
                self.measure_beside(call, straggler, copy);
            }
            let refusal = match self.attempt(call, target.member, sent, &mut tried).await {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            let goes_on = may_retry(&refusal) && tried.len() < ATTEMPTS && payload.is_some();
            refused = Some(refusal.after(refused));
            let service = &call.matched.service.name;
            if !goes_on || !self.ingress.seconds.withdraw(service) {
                break;
            }
        }
        Err(refused.unwrap_or_else(|| RefusalCode::NoServer.into()))
    }

    /// Sends a straggler a copy of a request and lets it run to its end, so that its latency is
    /// known. Nobody waits for it; it is paid for like every second attempt.
    fn measure_beside(self: &Arc<Self>, call: &Call, straggler: Member, payload: Payload) {
        let service = &call.matched.service.name;
        if call.matched.route.method != Method::Get || !self.ingress.seconds.withdraw(service) {
            return;
        }
        let core = Arc::clone(self);
        let mut hop = call.attempt(payload, None);
        // It is a request of the node's own: whatever becomes of it, what the caller is told of
        // its request stays true.
        hop.request = RequestId(Uuid::new_v4());
        tokio::spawn(async move {
            let _ = core.send_to(&straggler, hop).await;
        });
    }

    /// Makes one attempt and, when it is slow, a second one beside it. The one that is not needed
    /// is dropped, which cancels its work.
    async fn attempt(
        self: &Arc<Self>,
        call: &Call,
        target: Member,
        payload: Payload,
        tried: &mut Vec<NodeName>,
    ) -> Answer {
        let started = self.clock.now();
        let wait = self.hedge_wait(call, &payload);
        let again = payload.again();
        let mut first = std::pin::pin!(self.send_to(&target, call.attempt(payload, None)));
        let (Some(wait), Some(again)) = (wait, again) else {
            let answer = first.await;
            self.learn(call, started, &answer);
            return answer;
        };
        tokio::select! {
            answer = &mut first => {
                self.learn(call, started, &answer);
                return answer;
            }
            () = tokio::time::sleep(wait) => {}
        }
        let service = &call.matched.service.name;
        let second = self
            .choose(call, tried)
            .filter(|_| self.ingress.seconds.withdraw(service));
        let Some(Target { member: second, .. }) = second else {
            let answer = first.await;
            self.learn(call, started, &answer);
            return answer;
        };
        tried.push(second.node.clone());
        let mut hedge = std::pin::pin!(self.send_to(&second, call.attempt(again, None)));
        let answer = tokio::select! {
            answer = &mut first => match answer {
                Ok(answer) => Ok(answer),
                Err(refusal) => hedge.await.map_err(|last| last.after(Some(refusal))),
            },
            answer = &mut hedge => match answer {
                Ok(answer) => {
                    self.ingress.chooser().record_abandoned(&target.node);
                    Ok(answer)
                }
                Err(refusal) => first.await.map_err(|last| last.after(Some(refusal))),
            },
        };
        self.learn(call, started, &answer);
        answer
    }

    fn hedge_wait(&self, call: &Call, payload: &Payload) -> Option<Duration> {
        if !self.config.hedging || !matches!(payload, Payload::Whole(_)) {
            return None;
        }
        self.ingress.seconds.hedge_wait(&call.matched)
    }

    fn learn(&self, call: &Call, started: Moment, answer: &Answer) {
        if answer.is_ok() {
            let now = self.clock.now();
            let latency = now.since(started);
            self.ingress.seconds.answered(&call.matched, now, latency);
        }
    }

    fn choose(&self, call: &Call, tried: &[NodeName]) -> Option<Target> {
        let routing = self.view.routing.load();
        let nodes: Vec<&RoutingNode> = routing
            .nodes
            .values()
            .filter(|node| self.takes_work(call, node) && !tried.contains(&node.member.node))
            .collect();
        let now = self.clock.now();
        let chosen = self.ingress.chooser().choose(now, &nodes)?;
        let member = |name: &NodeName| Some(routing.nodes.get(name)?.member.clone());
        Some(Target {
            member: member(&chosen.node)?,
            measured: chosen.probe.as_ref().and_then(member),
        })
    }

    fn takes_work(&self, call: &Call, node: &RoutingNode) -> bool {
        let member = &node.member;
        let Some(server) = &member.server else {
            return false;
        };
        let intent = self.view.intent.load();
        let ordered = intent
            .as_ref()
            .is_none_or(|intent| intent.takes_work(&member.zone, server));
        member.service.as_ref() == Some(&call.matched.service.name)
            && node.in_service
            && node.state != ServerState::Draining
            && ordered
    }
}

/// Tells whether another attempt may help: the work did not run, or may run twice and its answer
/// was lost.
fn may_retry(refusal: &Refusal) -> bool {
    match refusal.code {
        RefusalCode::DeadlineNotRun => false,
        RefusalCode::AnswerLost => true,
        code => code.outcome() == WorkOutcome::NotRun && code.is_transient(),
    }
}
