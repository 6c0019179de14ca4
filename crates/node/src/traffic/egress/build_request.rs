//! Building the HTTP request to the backend server.

use std::sync::atomic::Ordering;

use http::Request;
use http::Uri;
use quetzalrack_core::document::spec::Method;
use quetzalrack_core::traffic::refusal::RefusalCode;
use quetzalrack_wire::headers;
use reqwest::Body;

use super::Egress;
use super::prepared_request::ResponseOrigin;
use crate::traffic::hop::HopRequest;
use crate::traffic::hop::set_header;
use crate::traffic::refusal::Refusal;

impl Egress {
    /// Builds the HTTP request to the backend server.
    pub(super) fn build_request(
        &self,
        hop: HopRequest,
        origin: &ResponseOrigin,
    ) -> Result<Request<Body>, Refusal> {
        let left = hop.deadline.since(self.clock.now());
        if left.is_zero() {
            return Err(RefusalCode::DeadlineNotRun.into());
        }
        let target = Uri::try_from(&hop.target).map_err(|_| Refusal::from(RefusalCode::BadPath))?;
        let mut request = Request::new(hop.payload.into_reqwest().unwrap_or_default());
        *request.method_mut() = http_method(hop.matched.route.method);
        *request.uri_mut() = target;
        let map = request.headers_mut();
        *map = hop.headers;
        set_header(map, headers::REQUEST, hop.request);
        set_header(map, headers::ATTEMPT, hop.attempt);
        set_header(map, headers::DEADLINE, left.as_millis());
        if let Some(grant) = &origin.grant {
            set_header(map, headers::SLICE, &grant.slice);
            set_header(map, headers::FENCE, grant.fence);
        }
        self.sent_count.fetch_add(1, Ordering::Relaxed);
        Ok(request)
    }
}

/// Converts a document's method into that of the HTTP client.
pub(in crate::traffic) fn http_method(method: Method) -> reqwest::Method {
    match method {
        Method::Get => reqwest::Method::GET,
        Method::Post => reqwest::Method::POST,
        Method::Put => reqwest::Method::PUT,
        Method::Delete => reqwest::Method::DELETE,
    }
}
