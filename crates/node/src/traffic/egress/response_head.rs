//! Checking of the backend server's responses and their headers.

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Response;
use axum::http::StatusCode;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_wire::headers;

use super::Egress;
use super::attempt::StartedResponse;
use super::prepared_request::ResponseOrigin;
use crate::traffic::hop::matches_attempt;
use crate::traffic::hop::retain_forwarded;
use crate::traffic::hop::set_header;
use crate::traffic::refusal::Refusal;

/// The status and headers of a response that is forwarded.
pub(super) struct ResponseHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
}

impl Egress {
    /// Checks the status and headers of a response; returns a refusal if it can't be forwarded.
    pub(super) fn check_response(
        &self,
        started: StartedResponse,
    ) -> Result<(StartedResponse, ResponseHead), Refusal> {
        let map = started.response.headers();
        let not_run = map
            .get(headers::NOT_RUN)
            .is_some_and(|value| value == "true");
        let status = started.response.status();
        if !matches_attempt(map, started.held_slot.origin().attempt) {
            log::warn!(event = "answer_crossed", attempt:% = started.held_slot.origin().attempt; "dropped a response to another attempt");
            self.client.replace_pool();
            // The attempt itself may still be running, so its slot is dropped, not released: it is
            // free once the backend server has confirmed the cancellation.
            return Err(RefusalCode::AnswerLost.into());
        }
        let (outcome, code) = match status {
            StatusCode::SERVICE_UNAVAILABLE if not_run => (AttemptOutcome::Shed, RefusalCode::Shed),
            _ if not_run => (AttemptOutcome::Abandoned, RefusalCode::StaleFence),
            _ if status.is_server_error() => (AttemptOutcome::Failed, RefusalCode::ServerFailed),
            _ => {
                let mut map = map.clone();
                retain_forwarded(&mut map);
                return Ok((
                    started,
                    ResponseHead {
                        status,
                        headers: map,
                    },
                ));
            }
        };
        started.held_slot.end(outcome);
        Err(code.into())
    }

    pub(super) fn build_response(
        &self,
        head: ResponseHead,
        origin: &ResponseOrigin,
        body: Body,
    ) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        self.set_origin_headers(response.headers_mut(), origin);
        response
    }

    /// Sets the headers that name a response's origin and the backend server's load.
    pub(super) fn set_origin_headers(&self, map: &mut HeaderMap, origin: &ResponseOrigin) {
        set_header(map, headers::ATTEMPT, origin.attempt);
        set_header(map, headers::SERVER, &origin.server);
        if let Some(grant) = &origin.grant {
            set_header(map, headers::SLICE, &grant.slice);
            set_header(map, headers::FENCE, grant.fence);
        }
        set_header(map, headers::LOAD, self.slots.load());
    }
}
