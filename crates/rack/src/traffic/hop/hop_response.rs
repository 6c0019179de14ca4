//! The response of one node to another.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use quetzalrack_mesh::ownership::NodeLoad;
use quetzalrack_mesh::traffic::RefusalReason;

use super::OUTCOME_HEADER;
use super::age_field;
use super::ends_field;
use super::notice_field;
use crate::traffic::body::Payload;
use crate::traffic::outcome::AttemptReport;
use crate::traffic::outcome::Outcome;

const ANSWERED: &str = "answered";
const NOT_RUN: &str = "not_run";
const LOST: &str = "lost";
/// The field with a reason that processes of earlier versions don't know; to them the server is full.
const REASON_PREFIX: &str = "why=";

/// Encodes a report as a response to another node.
pub(super) fn encode(report: AttemptReport) -> Response<Payload> {
    let load = report.load.unwrap_or_default();
    let (kind, detail, response) = match report.outcome {
        Outcome::Answered(response) => (ANSWERED, String::new(), response),
        Outcome::NotRun(reason, retry_after) => {
            let owner = report.owner.map(|owner| format!(" {owner}"));
            let owner = owner.unwrap_or_default();
            let millis = retry_after.as_millis();
            let detail = match reason {
                RefusalReason::Suspected | RefusalReason::Poison => {
                    let known = RefusalReason::Full;
                    format!(" {known} {millis}{owner} {REASON_PREFIX}{reason}")
                }
                reason => format!(" {reason} {millis}{owner}"),
            };
            (NOT_RUN, detail, empty_response())
        }
        Outcome::Lost(reason) => (LOST, format!(" {reason}"), empty_response()),
    };
    let header = format!(
        "{kind} {} {} {} {} {}{detail}{}{}{}",
        load.requests,
        load.limit,
        load.slowdown_percent,
        load.request_ms,
        load.backlog_ms,
        notice_field::encode(report.notice.as_ref()),
        ends_field::encode(&report.ends),
        age_field::encode(report.age),
    );
    let mut response = response;
    // All fields are plain ASCII.
    if let Ok(value) = HeaderValue::from_str(&header) {
        response.headers_mut().insert(OUTCOME_HEADER, value);
    }
    response
}

fn empty_response() -> Response<Payload> {
    let mut response = Response::new(Payload::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Decodes the response of another node; returns `None` if it is malformed.
pub(super) fn decode(mut response: Response<Payload>) -> Option<AttemptReport> {
    let value = response.headers_mut().remove(OUTCOME_HEADER)?;
    let mut fields = value.to_str().ok()?.split(' ');
    let kind = fields.next()?.to_owned();
    let mut number = || fields.next()?.parse().ok();
    let load = NodeLoad {
        requests: number()?,
        limit: number()?,
        slowdown_percent: number()?,
        request_ms: number()?,
        backlog_ms: number()?,
    };
    let outcome = match kind.as_str() {
        ANSWERED => Outcome::Answered(response),
        NOT_RUN => {
            let reason = fields.next()?.parse().ok()?;
            let retry_after = fields.next()?.parse().ok()?;
            Outcome::NotRun(reason, Duration::from_millis(retry_after))
        }
        LOST => Outcome::Lost(fields.next()?.parse().ok()?),
        _ => return None,
    };
    let mut report = AttemptReport::new(outcome);
    report.load = Some(load);
    for field in fields {
        if let Some(notice) = notice_field::decode(field) {
            report.notice = Some(notice);
        } else if let Some(reason) = field.strip_prefix(REASON_PREFIX) {
            if let Outcome::NotRun(known, _) = &mut report.outcome {
                *known = reason.parse().ok()?;
            }
        } else if let Some(ends) = ends_field::decode(field) {
            report.ends = ends;
        } else if let Some(age) = age_field::decode(field) {
            report.age = Some(age);
        } else if let Ok(owner) = field.parse() {
            report.owner = Some(owner);
        }
    }
    Some(report)
}
