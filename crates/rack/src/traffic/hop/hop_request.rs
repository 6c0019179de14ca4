//! The request that one node sends to another.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::request::Parts;
use http_body_util::Full;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::WorkKind;
use quetzalrack_platform::request::RequestHeaders;

use super::JOB_HEADER;
use crate::traffic::job::Job;

/// Writes a job as a request to another node. Times are sent as what is left of them, since the
/// clocks of two hosts are never compared.
pub(super) fn write(now: Moment, job: &Job) -> Option<Request<Full<Bytes>>> {
    let once = job.kind == WorkKind::Once;
    let text = format!(
        "{} {} {} {} {} {} {}",
        job.service,
        job.origin,
        job.route,
        job.rank,
        u8::from(once),
        job.objective.since(now).as_millis(),
        job.deadline.since(now).as_millis(),
    );
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    request
        .headers_mut()
        .insert(JOB_HEADER, HeaderValue::from_str(&text).ok()?);
    Some(request)
}

/// Reads a job from a request of another node.
pub(super) fn read(now: Moment, parts: Parts, body: Bytes) -> Option<Job> {
    let mut headers = parts.headers;
    let value = headers.remove(JOB_HEADER)?;
    let mut words = value.to_str().ok()?.split(' ');
    let mut word = || words.next();
    let service = word()?.parse().ok()?;
    let origin = word()?.parse().ok()?;
    let route = word()?.parse().ok()?;
    let rank = word()?.parse().ok()?;
    let kind = match word()? {
        "0" => WorkKind::Idempotent,
        _ => WorkKind::Once,
    };
    let mut left = || word()?.parse().ok().map(Duration::from_millis);
    let objective = now + left()?;
    let deadline = now + left()?;
    let known = RequestHeaders::read(&headers);
    Some(Job {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        id: known.id,
        key: known.key,
        service,
        origin,
        route,
        rank,
        kind,
        objective,
        deadline,
    })
}
