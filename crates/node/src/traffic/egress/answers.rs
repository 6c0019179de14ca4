//! Judging the backend server's answers and labelling those that pass.

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Response;
use axum::http::StatusCode;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_wire::headers;

use super::Egress;
use super::attempt::Head;
use super::served::Origin;
use crate::traffic::hop::echoes;
use crate::traffic::hop::put;
use crate::traffic::hop::retain_passed;
use crate::traffic::refusal::Refusal;

/// Is the part of an answer's beginning that passes the node.
pub(super) struct Passed {
    pub(super) status: StatusCode,
    pub(super) map: HeaderMap,
}

impl Egress {
    /// Judges the beginning of an answer.
    pub(super) fn examine(&self, head: Head) -> Result<(Head, Passed), Refusal> {
        let map = head.answer.headers();
        let not_run = map
            .get(headers::NOT_RUN)
            .is_some_and(|value| value == "true");
        let status = head.answer.status();
        if !echoes(map, head.held.origin().attempt) {
            log::warn!(event = "answer_crossed", attempt:% = head.held.origin().attempt; "dropped");
            self.link.renew();
            // The attempt itself may still be running, so its slot is dropped, not ended: it is
            // free once the backend server has confirmed the cancellation.
            return Err(RefusalCode::AnswerLost.into());
        }
        let (end, code) = match status {
            StatusCode::SERVICE_UNAVAILABLE if not_run => (AttemptOutcome::Shed, RefusalCode::Shed),
            _ if not_run => (AttemptOutcome::Abandoned, RefusalCode::StaleFence),
            _ if status.is_server_error() => (AttemptOutcome::Failed, RefusalCode::ServerFailed),
            _ => {
                let mut map = map.clone();
                retain_passed(&mut map);
                return Ok((head, Passed { status, map }));
            }
        };
        head.held.end(end);
        Err(code.into())
    }

    pub(super) fn response(&self, passed: Passed, origin: &Origin, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = passed.status;
        *response.headers_mut() = passed.map;
        self.label(response.headers_mut(), origin);
        response
    }

    /// Says in an answer's headers who gave it, and how loaded the backend server is.
    pub(super) fn label(&self, map: &mut HeaderMap, origin: &Origin) {
        put(map, headers::ATTEMPT, origin.attempt);
        put(map, headers::SERVER, &origin.server);
        if let Some(grant) = &origin.grant {
            put(map, headers::SLICE, &grant.slice);
            put(map, headers::FENCE, grant.fence);
        }
        put(map, headers::LOAD, self.slots.load());
    }
}
