//! Work that must not repeat, on its way through the gate.

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
use super::answer_body::passing_body;
use super::answers::Passed;
use super::attempt;
use super::attempt::Head;
use super::served::Grant;
use super::served::Origin;
use crate::traffic::hop::HopRequest;
use crate::traffic::hop::ReadAhead;
use crate::traffic::hop::read_ahead;
use crate::traffic::payload::Payload;
use crate::traffic::refusal::Refusal;

/// How long past its deadline a caller still waits for the gate's own refusal.
const GRACE: Duration = Duration::from_millis(20);

/// How long past the caller's deadline the outcome is waited for, to be kept for a repeat. Then the
/// work is cancelled, and its outcome stays unknown.
const OUTCOME_WAIT: Duration = Duration::from_secs(10);

type Answer = Result<Response<Body>, Refusal>;

struct Pass {
    egress: Arc<Egress>,
    server: Arc<Announcement>,
    grant: Grant,
    key: IdempotencyKey,
    /// Set from the moment the request may have been sent.
    sent: Arc<AtomicBool>,
}

impl Egress {
    /// Runs work that must not repeat, or returns what became of it before.
    pub(super) async fn pass_gate(
        self: &Arc<Self>,
        hop: HopRequest,
        server: Arc<Announcement>,
        grant: Grant,
    ) -> Answer {
        let Payload::Whole(body) = &hop.payload else {
            return Err(RefusalCode::BodyTooLarge.into());
        };
        let method = hop.matched.route.method.to_string();
        let digest = RequestDigest::of(&method, &hop.target, body);
        let key = idempotency_key(&hop)?;
        let wall = self.clock.wall();
        let decision = self
            .gate()
            .admit(wall, &grant.slice, grant.fence, key, digest);
        match decision {
            IdempotencyDecision::Run => {}
            IdempotencyDecision::Refuse(code) => return Err(code.into()),
            IdempotencyDecision::Replay(kept) => {
                let origin = Origin::new(hop.attempt, &server, Some(grant));
                return Ok(self.repeat(kept, &origin));
            }
        }
        let deadline = hop.deadline + GRACE;
        let pass = Pass {
            egress: Arc::clone(self),
            server,
            grant,
            key,
            sent: Arc::default(),
        };
        let sent = Arc::clone(&pass.sent);
        // The work goes on when its caller goes away: its outcome is wanted for the repeat.
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let _ = sender.send(pass.run(hop).await);
        });
        tokio::select! {
            answer = receiver => answer.unwrap_or_else(|_| Err(RefusalCode::AnswerLost.into())),
            () = self.sleep_until(Some(deadline)) => Err(match sent.load(Ordering::Acquire) {
                true => RefusalCode::DeadlineUnknown.into(),
                false => RefusalCode::StillRunning.into(),
            }),
        }
    }

    fn repeat(&self, kept: StoredResponse, origin: &Origin) -> Response<Body> {
        let mut response = Response::new(Body::from(kept.body));
        *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
        let map = response.headers_mut();
        for header in kept.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(&header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                map.append(name, value);
            }
        }
        self.label(response.headers_mut(), origin);
        response
    }
}

impl Pass {
    async fn run(self, hop: HopRequest) -> Answer {
        let grant = Some(self.grant.clone());
        let give_up = Some(hop.deadline + OUTCOME_WAIT);
        let prepared = self.egress.prepare(hop, &self.server, grant, give_up).await;
        let outgoing = match prepared {
            Ok(outgoing) => outgoing,
            Err(refusal) => {
                self.finish(ExecutionOutcome::NotRun);
                return Err(refusal);
            }
        };
        self.sent.store(true, Ordering::Release);
        let head = attempt::send(&self.egress, outgoing).await;
        let examined = head
            .map_err(Refusal::from)
            .and_then(|head| self.egress.examine(head));
        match examined {
            Ok((head, passed)) => self.keep(head, passed).await,
            Err(refusal) => {
                self.finish(match refusal.code.outcome() {
                    WorkOutcome::NotRun => ExecutionOutcome::NotRun,
                    WorkOutcome::Unknown => ExecutionOutcome::Unknown,
                    WorkOutcome::Failed => ExecutionOutcome::Failed,
                });
                Err(refusal)
            }
        }
    }

    async fn keep(&self, mut head: Head, passed: Passed) -> Answer {
        let limit = self.egress.gate().response_limit();
        let origin = head.held.origin().clone();
        match read_ahead(&mut head.answer, limit).await {
            ReadAhead::Whole(body) => {
                head.held.end(AttemptOutcome::Answered(head.latency));
                self.finish(ExecutionOutcome::Answered(kept_answer(
                    &passed,
                    body.clone(),
                )));
                Ok(self.egress.response(passed, &origin, Body::from(body)))
            }
            ReadAhead::Longer(first) => {
                self.finish(ExecutionOutcome::TooLarge);
                let body = passing_body(first, head.answer, head.held, head.latency);
                Ok(self.egress.response(passed, &origin, body))
            }
            ReadAhead::Broken => {
                head.held.end(AttemptOutcome::Lost);
                self.finish(ExecutionOutcome::Unknown);
                Err(RefusalCode::AnswerLost.into())
            }
        }
    }

    fn finish(&self, end: ExecutionOutcome) {
        let mut gate = self.egress.gate();
        gate.finish(&self.grant.slice, self.grant.fence, self.key, end);
    }
}

fn kept_answer(passed: &Passed, body: Bytes) -> StoredResponse {
    let headers = passed.map.iter().map(|(name, value)| StoredHeader {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    StoredResponse {
        status: passed.status.as_u16(),
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
