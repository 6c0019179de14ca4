//! One attempt at a request, as egress receives it.

use axum::http::HeaderMap;
use quetzalrack_core::cluster::RoutingTable;
use quetzalrack_core::ids::AttemptId;
use quetzalrack_core::ids::IdempotencyKey;
use quetzalrack_core::ids::KeyHash;
use quetzalrack_core::ids::RequestId;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::routes::MatchedRoute;

use crate::traffic::payload::Payload;

/// One attempt at a request, for the egress of the node that is to answer it.
#[derive(Debug)]
pub(in crate::traffic) struct HopRequest {
    /// The request's id.
    pub(in crate::traffic) request: RequestId,
    /// The attempt's id.
    pub(in crate::traffic) attempt: AttemptId,
    /// The route.
    pub(in crate::traffic) matched: MatchedRoute,
    /// The normalized path and query.
    pub(in crate::traffic) target: String,
    /// The caller's headers that are forwarded.
    pub(in crate::traffic) headers: HeaderMap,
    /// The body.
    pub(in crate::traffic) payload: Payload,
    /// The digest of what is asked for; none if the body is not buffered.
    pub(in crate::traffic) content: Option<ContentDigest>,
    /// When the caller stops waiting for the response.
    pub(in crate::traffic) deadline: Moment,
    /// The slice of the key by the ingress node's routing table.
    pub(in crate::traffic) slice: Option<SliceId>,
}

impl HopRequest {
    /// Returns the slice and the key's hash by a routing table; none if the table does not contain
    /// the service.
    pub(in crate::traffic) fn slice_in(
        &self,
        routing: &RoutingTable,
    ) -> Option<(SliceId, KeyHash)> {
        slice_in(&self.matched, &self.headers, routing)
    }
}

/// Digests what a request asks for: not its idempotency key, which differs between a caller's requests.
pub(in crate::traffic) fn digest_content(
    matched: &MatchedRoute,
    target: &str,
    payload: &Payload,
) -> Option<ContentDigest> {
    let Payload::Buffered(body) = payload else {
        return None;
    };
    let method = matched.route.method.to_string();
    let parts = [method.as_bytes(), target.as_bytes(), body];
    Some(ContentDigest::of(parts))
}

/// Returns the slice and the key's hash of a request. If the path contains no key, the idempotency
/// key is hashed instead, so that all repeats of a request reach the same idempotency store.
pub(in crate::traffic) fn slice_in(
    matched: &MatchedRoute,
    headers: &HeaderMap,
    routing: &RoutingTable,
) -> Option<(SliceId, KeyHash)> {
    let slices = routing.services.get(&matched.service.name)?;
    let idempotency_key = headers.get(quetzalrack_wire::headers::IDEMPOTENCY);
    let key = match &matched.key {
        Some(key) => KeyHash::of(key),
        None => KeyHash::of(
            &idempotency_key?
                .to_str()
                .ok()?
                .trim()
                .parse::<IdempotencyKey>()
                .ok()?
                .to_string(),
        ),
    };
    let slice = SliceId {
        service: matched.service.name.clone(),
        index: slices.slice_of(key),
    };
    Some((slice, key))
}
