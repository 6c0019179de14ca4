//! The request that one node sends to another.

use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::request::Parts;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::KnownEnds;
use quetzalrack_mesh::model::RequestKind;
use quetzalrack_mesh::model::ServerNotice;
use quetzalrack_platform::request::RequestHeaders;

use super::JOB_HEADER;
use super::ends_field;
use super::notice_field;
use crate::traffic::body::Payload;
use crate::traffic::job::Job;

/// Encodes a job as a request to another node. Times are sent as the time left, because the clocks
/// of two hosts are never compared.
pub(super) fn encode(
    now: Moment,
    job: &Job,
    told: Option<&ServerNotice>,
    ends: &KnownEnds,
) -> Option<Request<Payload>> {
    let is_once = job.kind == RequestKind::Once;
    let text = format!(
        "{} {} {} {} {} {} {}{}{}",
        job.service,
        job.caller,
        job.route,
        job.rank,
        u8::from(is_once),
        job.objective.since(now).as_millis(),
        job.deadline.since(now).as_millis(),
        notice_field::encode(told),
        ends_field::encode(ends),
    );
    let mut request = Request::new(job.body.clone());
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    request
        .headers_mut()
        .insert(JOB_HEADER, HeaderValue::from_str(&text).ok()?);
    Some(request)
}

/// A job of another node, with what that node knows.
pub(super) struct DecodedRequest {
    pub(super) job: Job,
    /// What it knows of the server here.
    pub(super) told: Option<ServerNotice>,
    /// The ends of servers under the job's content that it knows.
    pub(super) ends: KnownEnds,
}

/// Decodes a request of another node; returns `None` if it is malformed.
pub(super) fn decode(now: Moment, parts: Parts, body: Payload) -> Option<DecodedRequest> {
    let mut headers = parts.headers;
    let value = headers.remove(JOB_HEADER)?;
    let mut fields = value.to_str().ok()?.split(' ');
    let mut field = || fields.next();
    let service = field()?.parse().ok()?;
    let caller = field()?.parse().ok()?;
    let route = field()?.parse().ok()?;
    let rank = field()?.parse().ok()?;
    let kind = match field()? {
        "0" => RequestKind::Idempotent,
        _ => RequestKind::Once,
    };
    let mut time_left = || field()?.parse().ok().map(Duration::from_millis);
    let objective = now + time_left()?;
    let deadline = now + time_left()?;
    let mut told = None;
    let mut ends = KnownEnds::default();
    for field in fields {
        if let Some(notice) = notice_field::decode(field) {
            told = Some(notice);
        } else if let Some(known) = ends_field::decode(field) {
            ends = known;
        }
    }
    let client_headers = RequestHeaders::read(&headers);
    let key = client_headers.key;
    let content = Job::digest_content(&parts.method, &parts.uri, &headers, key, &body);
    let job = Job {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        id: client_headers.id,
        content,
        key,
        service,
        caller,
        route,
        rank,
        kind,
        objective,
        deadline,
    };
    Some(DecodedRequest { job, told, ends })
}
