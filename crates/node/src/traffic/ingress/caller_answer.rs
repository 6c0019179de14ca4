//! The answer as it goes back to the caller.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::body::HttpBody;
use axum::http::Response;
use futures::StreamExt;
use quetzalrack_core::burn::RequestOutcome;
use quetzalrack_core::explain::Explanation;
use quetzalrack_core::explain::Happening;
use quetzalrack_core::ids::RequestId;
use quetzalrack_core::traffic::refusal::WorkOutcome;
use quetzalrack_core::traffic::routes::MatchedRoute;
use quetzalrack_wire::headers;

use super::call::Call;
use super::remote::Answer;
use crate::traffic::hop::put;
use crate::traffic::refusal::Refusal;
use crate::traffic::traffic_core::TrafficCore;

/// Headers that only nodes need.
const BETWEEN_NODES: &[&str] = &[
    headers::ATTEMPT,
    headers::LOAD,
    headers::OWNER,
    headers::REFUSAL,
];

impl TrafficCore {
    /// Finishes an answer for the caller and counts it.
    pub(super) fn answer_caller(self: &Arc<Self>, call: &Call, answer: Answer) -> Response<Body> {
        let latency = self.clock.now().since(call.arrived);
        match answer {
            Err(refusal) => {
                let outcome = match refusal.code.outcome() {
                    WorkOutcome::NotRun => RequestOutcome::Refused,
                    WorkOutcome::Unknown => RequestOutcome::Unknown,
                    WorkOutcome::Failed => RequestOutcome::Failed,
                };
                if !refusal.code.is_client_error() {
                    self.counters.record(&call.matched, outcome, latency);
                }
                log::info!(
                    event = "request_refused",
                    request:% = call.request,
                    route:% = call.matched.route.name,
                    code:% = refusal.code,
                    waited_ms = latency.as_millis() as u64;
                    "refused"
                );
                self.explain_refusal(call, &refusal, latency);
                self.refuse_caller(call.request, refusal)
            }
            Ok(mut response) => {
                for name in BETWEEN_NODES {
                    response.headers_mut().remove(*name);
                }
                put(response.headers_mut(), headers::REQUEST, call.request);
                self.count_when_whole(call, latency, response)
            }
        }
    }

    /// Remembers why a request was refused, so that its caller's question can be answered.
    fn explain_refusal(&self, call: &Call, refusal: &Refusal, waited: Duration) {
        self.view.refusals.record(Explanation {
            at: self.clock.wall(),
            happening: Happening::RequestRefused {
                request: call.request,
                service: call.matched.service.name.clone(),
                route: call.matched.route.name.clone(),
                code: refusal.code,
                outcome: refusal.code.outcome(),
                waited_ms: waited.as_millis() as u64,
            },
        });
    }

    pub(super) fn refuse_caller(&self, request: RequestId, refusal: Refusal) -> Response<Body> {
        let mut response = refusal.into_response();
        for name in BETWEEN_NODES {
            response.headers_mut().remove(*name);
        }
        put(response.headers_mut(), headers::REQUEST, request);
        response
    }

    /// Counts an answer as served only once its body went out whole.
    fn count_when_whole(
        self: &Arc<Self>,
        call: &Call,
        latency: Duration,
        response: Response<Body>,
    ) -> Response<Body> {
        let matched = call.matched.clone();
        if response.body().size_hint().exact().is_some() {
            self.count_answer(&matched, latency);
            return response;
        }
        let core = Arc::clone(self);
        let (parts, body) = response.into_parts();
        let pieces = body.into_data_stream().map(Some);
        let ended = futures::stream::once(std::future::ready(None));
        let counted = pieces.chain(ended).filter_map(move |piece| {
            match &piece {
                None => core.count_answer(&matched, latency),
                Some(Err(_)) => core
                    .counters
                    .record(&matched, RequestOutcome::Unknown, latency),
                Some(Ok(_)) => {}
            }
            std::future::ready(piece)
        });
        Response::from_parts(parts, Body::from_stream(counted))
    }

    fn count_answer(&self, matched: &MatchedRoute, latency: Duration) {
        let objective = matched.route.objective.latency_ms.as_duration();
        let outcome = match latency <= objective {
            true => RequestOutcome::Served,
            false => RequestOutcome::Late,
        };
        self.counters.record(matched, outcome, latency);
    }
}
