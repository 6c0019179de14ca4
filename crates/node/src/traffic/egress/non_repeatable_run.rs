//! Non-repeatable requests, which run at most once.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use bytes::Bytes;
use quetzalrack_core::cluster::Announcement;
use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::traffic::admission::AttemptOutcome;
use quetzalrack_core::traffic::idempotency::ExecutionOutcome;
use quetzalrack_core::traffic::idempotency::IdempotencyDecision;
use quetzalrack_core::traffic::idempotency::RequestDigest;
use quetzalrack_core::traffic::idempotency::StoredHeader;
use quetzalrack_core::traffic::idempotency::StoredResponse;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_core::traffic::refusal::WorkOutcome;
use quetzalrack_wire::headers;
use tokio::sync::oneshot;

use super::Egress;
use super::attempt;
use super::attempt::StartedResponse;
use super::prepared_request::Grant;
use super::prepared_request::ResponseOrigin;
use super::response_body::stream_body;
use super::response_head::ResponseHead;
use crate::traffic::hop::BufferedBody;
use crate::traffic::hop::HopRequest;
use crate::traffic::hop::buffer_body;
use crate::traffic::payload::Payload;
use crate::traffic::refusal::Refusal;

/// How long past its deadline a caller still waits for the refusal that its own run returns.
const REFUSAL_GRACE: Duration = Duration::from_millis(20);

/// How long past the caller's deadline the outcome is awaited, to be stored for a repeat. Then the
/// work is cancelled, and its outcome stays unknown.
const OUTCOME_WAIT: Duration = Duration::from_secs(10);

type ServeResult = Result<Response<Body>, Refusal>;

struct NonRepeatableRun {
    egress: Arc<Egress>,
    server: Arc<Announcement>,
    grant: Grant,
    key: IdempotencyKey,
    /// Set before the request is sent.
    sent: Arc<AtomicBool>,
}

impl Egress {
    /// Runs a non-repeatable request, or replays the stored response of an earlier run.
    pub(super) async fn serve_non_repeatable(
        self: &Arc<Self>,
        hop: HopRequest,
        server: Arc<Announcement>,
        grant: Grant,
    ) -> ServeResult {
        let Payload::Buffered(body) = &hop.payload else {
            return Err(RefusalCode::BodyTooLarge.into());
        };
        let method = hop.matched.route.method.to_string();
        let digest = RequestDigest::of(&method, &hop.target, body);
        let key = idempotency_key(&hop)?;
        let wall = self.clock.wall();
        let decision = self
            .idempotency()
            .admit(wall, &grant.slice, grant.fence, key, digest);
        match decision {
            IdempotencyDecision::Run => {}
            IdempotencyDecision::Refuse(code) => return Err(code.into()),
            IdempotencyDecision::Replay(stored) => {
                let origin = ResponseOrigin::new(hop.attempt, &server, Some(grant));
                return Ok(self.replay(stored, &origin));
            }
        }
        let deadline = hop.deadline + REFUSAL_GRACE;
        let run = NonRepeatableRun {
            egress: Arc::clone(self),
            server,
            grant,
            key,
            sent: Arc::default(),
        };
        let sent = Arc::clone(&run.sent);
        // The work continues if the caller disconnects: a repeat of the request needs its outcome.
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let _ = sender.send(run.execute(hop).await);
        });
        tokio::select! {
            result = receiver => result.unwrap_or_else(|_| Err(RefusalCode::AnswerLost.into())),
            () = self.sleep_until(Some(deadline)) => Err(match sent.load(Ordering::Acquire) {
                true => RefusalCode::DeadlineUnknown.into(),
                false => RefusalCode::StillRunning.into(),
            }),
        }
    }

    fn replay(&self, stored: StoredResponse, origin: &ResponseOrigin) -> Response<Body> {
        let mut response = Response::new(Body::from(stored.body));
        *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
        let map = response.headers_mut();
        for header in stored.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(&header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                map.append(name, value);
            }
        }
        self.set_origin_headers(response.headers_mut(), origin);
        response
    }
}

impl NonRepeatableRun {
    async fn execute(self, hop: HopRequest) -> ServeResult {
        let grant = Some(self.grant.clone());
        let cancel_at = Some(hop.deadline + OUTCOME_WAIT);
        let prepared = self
            .egress
            .prepare(hop, &self.server, grant, cancel_at)
            .await;
        let prepared = match prepared {
            Ok(prepared) => prepared,
            Err(refusal) => {
                self.record_outcome(ExecutionOutcome::NotRun);
                return Err(refusal);
            }
        };
        self.sent.store(true, Ordering::Release);
        let started = attempt::send(&self.egress, prepared).await;
        let checked = started
            .map_err(Refusal::from)
            .and_then(|started| self.egress.check_response(started));
        match checked {
            Ok((started, head)) => self.store_response(started, head).await,
            Err(refusal) => {
                self.record_outcome(match refusal.code.outcome() {
                    WorkOutcome::NotRun => ExecutionOutcome::NotRun,
                    WorkOutcome::Unknown => ExecutionOutcome::Unknown,
                    WorkOutcome::Failed => ExecutionOutcome::Failed,
                });
                Err(refusal)
            }
        }
    }

    async fn store_response(
        &self,
        mut started: StartedResponse,
        head: ResponseHead,
    ) -> ServeResult {
        let limit = self.egress.idempotency().response_limit();
        let origin = started.held_slot.origin().clone();
        match buffer_body(&mut started.response, limit).await {
            BufferedBody::Complete(body) => {
                started
                    .held_slot
                    .end(AttemptOutcome::Answered(started.latency));
                self.record_outcome(ExecutionOutcome::Answered(stored_response(
                    &head,
                    body.clone(),
                )));
                Ok(self.egress.build_response(head, &origin, Body::from(body)))
            }
            BufferedBody::Partial(first) => {
                self.record_outcome(ExecutionOutcome::TooLarge);
                let body = stream_body(first, started.response, started.held_slot, started.latency);
                Ok(self.egress.build_response(head, &origin, body))
            }
            BufferedBody::Broken => {
                started.held_slot.lost().await;
                self.record_outcome(ExecutionOutcome::Unknown);
                Err(RefusalCode::AnswerLost.into())
            }
        }
    }

    fn record_outcome(&self, outcome: ExecutionOutcome) {
        let mut store = self.egress.idempotency();
        store.finish(&self.grant.slice, self.grant.fence, self.key, outcome);
    }
}

fn stored_response(head: &ResponseHead, body: Bytes) -> StoredResponse {
    let headers = head.headers.iter().map(|(name, value)| StoredHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    StoredResponse {
        status: head.status.as_u16(),
        headers: headers.collect(),
        body,
    }
}

fn idempotency_key(hop: &HopRequest) -> Result<IdempotencyKey, Refusal> {
    let value = hop.headers.get(headers::IDEMPOTENCY);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.trim().parse().ok())
        .ok_or_else(|| RefusalCode::KeyRequired.into())
}
