//! Sending an attempt to a node, this one or another.

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
use crate::traffic::hop::HopRequest;
use crate::traffic::hop::ReadAhead;
use crate::traffic::hop::STALL;
use crate::traffic::hop::echoes;
use crate::traffic::hop::put;
use crate::traffic::hop::read_ahead;
use crate::traffic::payload::BUFFERED;
use crate::traffic::refusal::Refusal;
use crate::traffic::traffic_core::TrafficCore;

/// How long past the deadline an ingress waits, so that the far node's own refusal arrives, which
/// knows whether the work ran.
const GRACE: Duration = Duration::from_millis(50);

pub(super) type Answer = Result<Response<Body>, Refusal>;

impl TrafficCore {
    /// Sends an attempt to a node and returns the answer or the refusal.
    pub(super) async fn send_to(self: &Arc<Self>, member: &Member, hop: HopRequest) -> Answer {
        let _outstanding = self.ingress.outstanding(&member.node);
        if member.node == self.config.node {
            let answer = self.egress.serve(hop).await;
            let load = self.egress.load();
            let now = self.clock.now();
            self.ingress.chooser().record_load(now, &member.node, load);
            return answer;
        }
        self.send_remote(member, hop).await
    }

    async fn send_remote(&self, member: &Member, hop: HopRequest) -> Answer {
        let attempt = hop.attempt;
        let deadline = hop.deadline + GRACE;
        let exceeded = hop.payload.exceeded();
        let request = self.remote_request(member, hop)?;
        let executed = tokio::select! {
            executed = self.ingress.client.execute(request) => executed,
            () = self.ingress.sleep_until(deadline) => {
                return Err(RefusalCode::DeadlineUnknown.into());
            }
        };
        let mut answer = executed.map_err(|error| {
            Refusal::from(match error.is_connect() {
                _ if exceeded.load(Ordering::Acquire) => RefusalCode::BodyOverrun,
                true => RefusalCode::ServerUnreachable,
                false => RefusalCode::AnswerLost,
            })
        })?;
        if !echoes(answer.headers(), attempt) {
            log::warn!(event = "answer_crossed", node:% = member.node, attempt:% = attempt; "dropped");
            return Err(RefusalCode::AnswerLost.into());
        }
        self.learn_load(member, answer.headers());
        if let Some(refusal) = Refusal::read(answer.headers()) {
            // Read to its end, so that the connection can be used again.
            let _ = read_ahead(&mut answer, BUFFERED as usize).await;
            return Err(refusal);
        }
        let status = answer.status();
        let map = answer.headers().clone();
        let body = match read_ahead(&mut answer, BUFFERED as usize).await {
            ReadAhead::Whole(body) => Body::from(body),
            ReadAhead::Longer(first) => passing_body(first, answer),
            ReadAhead::Broken => return Err(RefusalCode::AnswerLost.into()),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = without_hop(map);
        Ok(response)
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
        put(&mut map, headers::REQUEST, hop.request);
        put(&mut map, headers::ATTEMPT, hop.attempt);
        put(&mut map, headers::DEADLINE, left.as_millis());
        if let Some(slice) = &hop.slice {
            put(&mut map, headers::SLICE, slice);
        }
        let wall = self.clock.wall();
        self.seal.sign(wall, method.as_str(), &hop.target, &mut map);
        let mut request = reqwest::Request::new(method, url);
        *request.headers_mut() = map;
        *request.body_mut() = hop.payload.into_outgoing();
        Ok(request)
    }

    fn learn_load(&self, member: &Member, map: &HeaderMap) {
        let text = map.get(headers::LOAD).and_then(|value| value.to_str().ok());
        if let Some(load) = text.and_then(|text| text.parse::<NodeLoad>().ok()) {
            let now = self.clock.now();
            self.ingress.chooser().record_load(now, &member.node, load);
        }
    }
}

/// Drops the headers that belong to the hop and keeps those that name the answer's origin.
fn without_hop(mut map: HeaderMap) -> HeaderMap {
    let kept = [headers::SERVER, headers::SLICE, headers::FENCE]
        .map(|name| (name, map.get(name).cloned()));
    crate::traffic::hop::retain_passed(&mut map);
    for (name, value) in kept {
        if let Some(value) = value {
            map.insert(name, value);
        }
    }
    map
}

/// Passes an answer on as it arrives; one that breaks off cuts the caller's connection.
fn passing_body(first: Bytes, answer: reqwest::Response) -> Body {
    let start = (Some(first).filter(|bytes| !bytes.is_empty()), Some(answer));
    Body::from_stream(stream::unfold(start, |(first, answer)| async move {
        if let Some(first) = first {
            return Some((Ok(first), (None, answer)));
        }
        let mut answer = answer?;
        match tokio::time::timeout(STALL, answer.chunk()).await {
            Ok(Ok(piece)) => piece.map(|piece| (Ok(piece), (None, Some(answer)))),
            Ok(Err(error)) => Some((Err(io::Error::other(error)), (None, None))),
            Err(_) => Some((Err(io::ErrorKind::TimedOut.into()), (None, None))),
        }
    }))
}
