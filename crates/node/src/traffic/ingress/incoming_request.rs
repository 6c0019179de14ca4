//! A caller's request.

use axum::http::HeaderMap;
use quetzalrack_core::ids::AttemptId;
use quetzalrack_core::ids::RequestId;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::ContentDigest;
use quetzalrack_core::traffic::routes::MatchedRoute;
use uuid::Uuid;

use crate::traffic::hop::HopRequest;
use crate::traffic::payload::Payload;

/// A caller's request, from which attempts are made.
#[derive(Debug)]
pub(super) struct IncomingRequest {
    pub(super) request: RequestId,
    pub(super) matched: MatchedRoute,
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    /// The digest of what is asked for, once the body is read; none if it is not buffered.
    pub(super) content: Option<ContentDigest>,
    pub(super) deadline: Moment,
    pub(super) arrived: Moment,
}

impl IncomingRequest {
    /// Creates an attempt at the request.
    pub(super) fn attempt(&self, payload: Payload, slice: Option<SliceId>) -> HopRequest {
        HopRequest {
            request: self.request,
            attempt: AttemptId(Uuid::new_v4()),
            matched: self.matched.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            payload,
            content: self.content,
            deadline: self.deadline,
            slice,
        }
    }
}
