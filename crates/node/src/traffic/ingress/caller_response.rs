//! The response to the caller.

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

use super::incoming_request::IncomingRequest;
use super::remote::AttemptResult;
use crate::traffic::hop::set_header;
use crate::traffic::refusal::Refusal;
use crate::traffic::traffic_core::TrafficCore;

/// Headers for nodes, which are removed from responses to callers.
const NODE_ONLY_HEADERS: &[&str] = &[
    headers::ATTEMPT,
    headers::LOAD,
    headers::OWNER,
    headers::ENDS,
    headers::REFUSAL,
];

impl TrafficCore {
    /// Builds the response to the caller and counts the request's outcome.
    pub(super) fn respond(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        result: AttemptResult,
    ) -> Response<Body> {
        let latency = self.clock.now().since(incoming.arrived);
        match result {
            Err(refusal) => {
                let outcome = match refusal.code.outcome() {
                    WorkOutcome::NotRun => RequestOutcome::Refused,
                    WorkOutcome::Unknown => RequestOutcome::Unknown,
                    WorkOutcome::Failed => RequestOutcome::Failed,
                };
                if !refusal.code.is_client_error() {
                    self.counters.record(&incoming.matched, outcome, latency);
                }
                log::info!(
                    event = "request_refused",
                    request:% = incoming.request,
                    route:% = incoming.matched.route.name,
                    code:% = refusal.code,
                    waited_ms = latency.as_millis() as u64,
                    ends = self.suspects.ends_counted(incoming.content.as_ref());
                    "request refused"
                );
                self.record_refusal(incoming, &refusal, latency);
                self.refusal_response(incoming.request, refusal)
            }
            Ok(mut response) => {
                for name in NODE_ONLY_HEADERS {
                    response.headers_mut().remove(*name);
                }
                set_header(response.headers_mut(), headers::REQUEST, incoming.request);
                self.count_when_complete(incoming, latency, response)
            }
        }
    }

    /// Records why a request was refused, so that the refusal can be explained later.
    fn record_refusal(&self, incoming: &IncomingRequest, refusal: &Refusal, waited: Duration) {
        self.view.refusals.record(Explanation {
            at: self.clock.wall(),
            happening: Happening::RequestRefused {
                request: incoming.request,
                service: incoming.matched.service.name.clone(),
                route: incoming.matched.route.name.clone(),
                code: refusal.code,
                outcome: refusal.code.outcome(),
                waited_ms: waited.as_millis() as u64,
            },
        });
    }

    pub(super) fn refusal_response(&self, request: RequestId, refusal: Refusal) -> Response<Body> {
        let mut response = refusal.into_response();
        for name in NODE_ONLY_HEADERS {
            response.headers_mut().remove(*name);
        }
        set_header(response.headers_mut(), headers::REQUEST, request);
        response
    }

    /// Counts a response as served only once its whole body has been sent.
    fn count_when_complete(
        self: &Arc<Self>,
        incoming: &IncomingRequest,
        latency: Duration,
        response: Response<Body>,
    ) -> Response<Body> {
        let matched = incoming.matched.clone();
        if response.body().size_hint().exact().is_some() {
            self.count_response(&matched, latency);
            return response;
        }
        let core = Arc::clone(self);
        let (parts, body) = response.into_parts();
        let chunks = body.into_data_stream().map(Some);
        let ended = futures::stream::once(std::future::ready(None));
        let counted = chunks.chain(ended).filter_map(move |chunk| {
            match &chunk {
                None => core.count_response(&matched, latency),
                Some(Err(_)) => core
                    .counters
                    .record(&matched, RequestOutcome::Unknown, latency),
                Some(Ok(_)) => {}
            }
            std::future::ready(chunk)
        });
        Response::from_parts(parts, Body::from_stream(counted))
    }

    fn count_response(&self, matched: &MatchedRoute, latency: Duration) {
        let objective = matched.route.objective.latency_ms.as_duration();
        let outcome = match latency <= objective {
            true => RequestOutcome::Served,
            false => RequestOutcome::Late,
        };
        self.counters.record(matched, outcome, latency);
    }
}
