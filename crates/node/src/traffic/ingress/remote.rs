//! Sending an attempt to this node's egress or to another node.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Response;
use bytes::Bytes;
use futures::stream;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::traffic::balancing::NodeLoad;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_wire::headers;
use reqwest::Url;

use crate::traffic::egress::http_method;
use crate::traffic::hop::BODY_STALL_TIMEOUT;
use crate::traffic::hop::BufferedBody;
use crate::traffic::hop::HopRequest;
use crate::traffic::hop::buffer_body;
use crate::traffic::hop::matches_attempt;
use crate::traffic::hop::set_header;
use crate::traffic::payload::MAX_BUFFERED_BYTES;
use crate::traffic::refusal::Refusal;
use crate::traffic::suspects::write_ends;
use crate::traffic::traffic_core::TrafficCore;

/// How long ingress waits past the deadline for the other node's refusal, which tells whether the
/// work ran.
const REFUSAL_GRACE: Duration = Duration::from_millis(50);

pub(super) type AttemptResult = Result<Response<Body>, Refusal>;

impl TrafficCore {
    /// Sends an attempt to a node and returns its response or refusal.
    pub(super) async fn send_to(
        self: &Arc<Self>,
        member: &Member,
        hop: HopRequest,
    ) -> AttemptResult {
        let _outstanding = self.ingress.outstanding(&member.node);
        if member.node == self.config.node {
            self.suspects.wait_informed(hop.deadline).await?;
            let result = self.egress.serve(hop).await;
            let load = self.egress.load();
            let now = self.clock.now();
            self.ingress.balancer().record_load(now, &member.node, load);
            return result;
        }
        self.send_remote(member, hop).await
    }

    async fn send_remote(&self, member: &Member, hop: HopRequest) -> AttemptResult {
        let (attempt, content) = (hop.attempt, hop.content);
        let route = hop.matched.route.name.clone();
        let sent_as = self.suspects.suspicion(content.as_ref());
        let mut received = match self.exchange(member, hop).await {
            Ok(received) => received,
            Err(refusal) => {
                self.record_lost(content.as_ref(), &route, member, &refusal, sent_as)
                    .await;
                return Err(refusal);
            }
        };
        if !matches_attempt(received.headers(), attempt) {
            log::warn!(event = "answer_crossed", node:% = member.node, attempt:% = attempt; "dropped a response to another attempt");
            return Err(RefusalCode::AnswerLost.into());
        }
        self.record_load(member, received.headers());
        let refusal = Refusal::from_headers(received.headers());
        self.record_response(content.as_ref(), member, refusal.as_ref());
        if let Some(refusal) = refusal {
            // The body is read to its end, so that the connection can be reused.
            let _ = buffer_body(&mut received, MAX_BUFFERED_BYTES as usize).await;
            return Err(refusal);
        }
        let status = received.status();
        let map = received.headers().clone();
        let body = match buffer_body(&mut received, MAX_BUFFERED_BYTES as usize).await {
            BufferedBody::Complete(body) => Body::from(body),
            BufferedBody::Partial(first) => stream_body(first, received),
            BufferedBody::Broken => return Err(RefusalCode::AnswerLost.into()),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = strip_hop_headers(map);
        Ok(response)
    }

    /// Sends an attempt to another node and returns its response as far as the end of the headers.
    async fn exchange(
        &self,
        member: &Member,
        hop: HopRequest,
    ) -> Result<reqwest::Response, Refusal> {
        let deadline = hop.deadline + REFUSAL_GRACE;
        let body_exceeded = hop.payload.exceeded();
        let request = self.remote_request(member, hop)?;
        let executed = tokio::select! {
            executed = self.ingress.client.execute(request) => executed,
            () = self.ingress.sleep_until(deadline) => {
                return Err(RefusalCode::DeadlineUnknown.into());
            }
        };
        executed.map_err(|error| {
            Refusal::from(match error.is_connect() {
                _ if body_exceeded.load(Ordering::Acquire) => RefusalCode::BodyOverrun,
                true => RefusalCode::ServerUnreachable,
                false => RefusalCode::AnswerLost,
            })
        })
    }

    fn remote_request(
        &self,
        member: &Member,
        hop: HopRequest,
    ) -> Result<reqwest::Request, Refusal> {
        let text = format!("http://{}{}", member.traffic, hop.target);
        let url = Url::parse(&text).map_err(|_| Refusal::from(RefusalCode::BadPath))?;
        let method = http_method(hop.matched.route.method);
        let left = hop.deadline.since(self.clock.now());
        if left.is_zero() {
            return Err(RefusalCode::DeadlineNotRun.into());
        }
        let mut map = hop.headers;
        set_header(&mut map, headers::REQUEST, hop.request);
        set_header(&mut map, headers::ATTEMPT, hop.attempt);
        set_header(&mut map, headers::DEADLINE, left.as_millis());
        if let Some(slice) = &hop.slice {
            set_header(&mut map, headers::SLICE, slice);
        }
        write_ends(&mut map, &self.suspects.ends(hop.content.as_ref()));
        let wall = self.clock.wall();
        self.authenticator
            .sign(wall, method.as_str(), &hop.target, &mut map);
        let mut request = reqwest::Request::new(method, url);
        *request.headers_mut() = map;
        *request.body_mut() = hop.payload.into_reqwest();
        Ok(request)
    }

    fn record_load(&self, member: &Member, map: &HeaderMap) {
        let text = map.get(headers::LOAD).and_then(|value| value.to_str().ok());
        if let Some(load) = text.and_then(|text| text.parse::<NodeLoad>().ok()) {
            let now = self.clock.now();
            self.ingress.balancer().record_load(now, &member.node, load);
        }
    }
}

/// Removes the headers that are not forwarded, except those that name the response's origin.
fn strip_hop_headers(mut map: HeaderMap) -> HeaderMap {
    let kept = [headers::SERVER, headers::SLICE, headers::FENCE]
        .map(|name| (name, map.get(name).cloned()));
    crate::traffic::hop::retain_forwarded(&mut map);
    for (name, value) in kept {
        if let Some(value) = value {
            map.insert(name, value);
        }
    }
    map
}

/// Forwards a response's body as it arrives; if it fails, the caller's connection is aborted.
fn stream_body(first: Bytes, response: reqwest::Response) -> Body {
    let start = (
        Some(first).filter(|bytes| !bytes.is_empty()),
        Some(response),
    );
    Body::from_stream(stream::unfold(start, |(first, response)| async move {
        if let Some(first) = first {
            return Some((Ok(first), (None, response)));
        }
        let mut response = response?;
        match tokio::time::timeout(BODY_STALL_TIMEOUT, response.chunk()).await {
            Ok(Ok(chunk)) => chunk.map(|chunk| (Ok(chunk), (None, Some(response)))),
            Ok(Err(error)) => Some((Err(io::Error::other(error)), (None, None))),
            Err(_) => Some((Err(io::ErrorKind::TimedOut.into()), (None, None))),
        }
    }))
}
