//! Handling of requests on the traffic port, from callers and from other nodes.

use std::sync::Arc;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Request;
use axum::http::Response;
use axum::http::header;
use axum::http::request::Parts;
use quetzalrack_core::document::spec::Method;
use quetzalrack_core::ids::RequestId;
use quetzalrack_core::time::Milliseconds;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_core::traffic::routes::MatchedRoute;
use quetzalrack_core::traffic::routes::RouteMatch;
use quetzalrack_wire::headers;
use reqwest::Url;
use uuid::Uuid;

use super::incoming_request::IncomingRequest;
use crate::traffic::hop::HopRequest;
use crate::traffic::hop::HopVerification;
use crate::traffic::hop::digest_content;
use crate::traffic::hop::retain_forwarded;
use crate::traffic::hop::set_header;
use crate::traffic::payload::MAX_BUFFERED_BYTES;
use crate::traffic::payload::Payload;
use crate::traffic::payload::StreamedBody;
use crate::traffic::refusal::Refusal;
use crate::traffic::suspects::read_ends;
use crate::traffic::traffic_core::TrafficCore;

/// The largest total size of a request's headers, in bytes.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// The largest body of a non-repeatable request, even if its route allows more: it is buffered
/// completely to compute its digest.
const MAX_NON_REPEATABLE_BYTES: u64 = 8 * 1024 * 1024;

impl TrafficCore {
    /// Answers a request that arrived on the traffic port.
    pub(in crate::traffic) async fn handle_request(
        self: Arc<Self>,
        request: Request<Body>,
    ) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let Some(target) = normalize_target(&parts) else {
            return Refusal::from(RefusalCode::BadPath).into_response();
        };
        let wall = self.clock.wall();
        let method = parts.method.as_str();
        match self
            .authenticator
            .verify(wall, method, &target, &parts.headers)
        {
            HopVerification::Unsigned => self.handle_caller_request(parts, target, body).await,
            HopVerification::Valid => self.handle_node_request(parts, target, body).await,
            HopVerification::Invalid => Refusal::from(RefusalCode::NotAuthentic).into_response(),
        }
    }

    async fn handle_caller_request(
        self: &Arc<Self>,
        parts: Parts,
        target: String,
        body: Body,
    ) -> Response<Body> {
        let arrived = self.clock.now();
        let request = RequestId(Uuid::new_v4());
        let matched = match self.match_route(&parts, &target) {
            Ok(matched) => matched,
            Err(refusal) => return self.refusal_response(request, refusal),
        };
        let mut map = parts.headers;
        retain_forwarded(&mut map);
        let mut incoming = IncomingRequest {
            request,
            deadline: arrived + matched.route.deadline_ms.as_duration(),
            matched,
            target,
            headers: map,
            content: None,
            arrived,
        };
        let payload = self
            .read_body(&incoming.matched, &incoming.headers, body)
            .await;
        if let Ok(payload) = &payload {
            incoming.content = digest_content(&incoming.matched, &incoming.target, payload);
        }
        let result = match payload {
            Err(refusal) => Err(refusal),
            Ok(payload) if incoming.matched.needs_owner() => {
                self.run_owned(&incoming, payload).await
            }
            Ok(payload) => self.run_balanced(&incoming, payload).await,
        };
        self.respond(&incoming, result)
    }

    /// Answers a request that another node has forwarded.
    async fn handle_node_request(
        self: &Arc<Self>,
        parts: Parts,
        target: String,
        body: Body,
    ) -> Response<Body> {
        let attempt = header_value(&parts.headers, headers::ATTEMPT);
        let request = header_value(&parts.headers, headers::REQUEST);
        let left = header_value::<u32>(&parts.headers, headers::DEADLINE);
        let (Some(attempt), Some(request), Some(left)) = (attempt, request, left) else {
            return Refusal::from(RefusalCode::NotAuthentic).into_response();
        };
        let deadline = self.clock.now() + Milliseconds(left).as_duration();
        let slice = header_value(&parts.headers, headers::SLICE);
        let ends = read_ends(&parts.headers);
        let result = match self.match_route(&parts, &target) {
            Err(refusal) => Err(refusal),
            Ok(matched) => {
                let mut map = parts.headers;
                retain_forwarded(&mut map);
                match self.read_body(&matched, &map, body).await {
                    Err(refusal) => Err(refusal),
                    Ok(payload) => {
                        let content = digest_content(&matched, &target, &payload);
                        let hop = HopRequest {
                            request,
                            attempt,
                            matched,
                            target,
                            headers: map,
                            payload,
                            content,
                            deadline,
                            slice,
                        };
                        self.serve_peer(hop, &ends).await
                    }
                }
            }
        };
        let mut response = result.unwrap_or_else(Refusal::into_response);
        let map = response.headers_mut();
        set_header(map, headers::ATTEMPT, attempt);
        set_header(map, headers::LOAD, self.egress.load());
        response
    }

    fn match_route(&self, parts: &Parts, target: &str) -> Result<MatchedRoute, Refusal> {
        let size: usize = parts
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        if size > MAX_HEADER_BYTES {
            return Err(RefusalCode::HeadersTooLarge.into());
        }
        let Some(intent) = self.view.intent.load_full() else {
            return Err(RefusalCode::NotReady.into());
        };
        let method = method_of(&parts.method).ok_or(RefusalCode::NoRoute)?;
        let path = target.split('?').next().unwrap_or(target);
        match self.ingress.routes.table(&intent).find(method, path) {
            RouteMatch::Found(matched) => Ok(matched),
            RouteMatch::NoRoute => Err(RefusalCode::NoRoute.into()),
            RouteMatch::BadPath => Err(RefusalCode::BadPath.into()),
        }
    }

    /// Buffers a small body, so that the request can be sent again; a large one is streamed.
    ///
    /// The bodies of GET requests and of non-repeatable requests are buffered whatever their size.
    async fn read_body(
        &self,
        matched: &MatchedRoute,
        map: &HeaderMap,
        body: Body,
    ) -> Result<Payload, Refusal> {
        let length = header_value::<u64>(map, header::CONTENT_LENGTH.as_str());
        let mut limit = matched.route.body_bytes.0;
        if !matched.route.repeatable {
            limit = limit.min(MAX_NON_REPEATABLE_BYTES);
        }
        if length.is_some_and(|length| length > limit) {
            return Err(RefusalCode::BodyTooLarge.into());
        }
        let buffered = length.is_some_and(|length| length <= MAX_BUFFERED_BYTES)
            || !matched.route.repeatable
            || matched.route.method == Method::Get;
        if !buffered {
            return Ok(Payload::Streamed(StreamedBody::new(body, limit)));
        }
        let read = axum::body::to_bytes(body, limit as usize);
        let deadline = matched.route.deadline_ms.as_duration();
        match tokio::time::timeout(deadline, read).await {
            Ok(Ok(bytes)) => Ok(Payload::Buffered(bytes)),
            // Nothing was sent yet, so nothing ran.
            Ok(Err(_)) if length.is_none() => Err(RefusalCode::BodyTooLarge.into()),
            Ok(Err(_)) => Err(RefusalCode::BodyBroken.into()),
            Err(_) => Err(RefusalCode::DeadlineNotRun.into()),
        }
    }
}

/// Normalizes path and query. Dot segments are resolved and special characters are escaped before
/// the route is matched, so that every hop sees the path that was matched.
fn normalize_target(parts: &Parts) -> Option<String> {
    let given = parts.uri.path_and_query()?.as_str();
    let url = Url::parse("http://node").ok()?.join(given).ok()?;
    if url.host_str() != Some("node") {
        return None;
    }
    Some(match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    })
}

fn method_of(method: &axum::http::Method) -> Option<Method> {
    match method.as_str() {
        "GET" => Some(Method::Get),
        "POST" => Some(Method::Post),
        "PUT" => Some(Method::Put),
        "DELETE" => Some(Method::Delete),
        _ => None,
    }
}

fn header_value<T>(map: &HeaderMap, name: &str) -> Option<T>
where
    T: std::str::FromStr,
{
    map.get(name)?.to_str().ok()?.parse().ok()
}
