//! The answer that one node gives to another.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use quetzalrack_mesh::ownership::NodeLoad;

use super::OUTCOME_HEADER;
use crate::traffic::outcome::Outcome;
use crate::traffic::outcome::Report;

const ANSWERED: &str = "answered";
const NOT_RUN: &str = "not_run";
const LOST: &str = "lost";

/// Writes a report as an answer to another node.
pub(super) fn write(report: Report) -> Response<Full<Bytes>> {
    let load = report.load.unwrap_or_default();
    let (word, detail, response) = match report.outcome {
        Outcome::Answered(answer) => (ANSWERED, String::new(), answer),
        Outcome::NotRun(reason, back) => {
            let owner = report.owner.map(|owner| format!(" {owner}"));
            let owner = owner.unwrap_or_default();
            let detail = format!(" {reason} {}{owner}", back.as_millis());
            (NOT_RUN, detail, refusal())
        }
        Outcome::Lost(lost) => (LOST, format!(" {lost}"), refusal()),
    };
    let text = format!(
        "{word} {} {} {} {} {}{detail}",
        load.requests, load.limit, load.slowdown_percent, load.request_ms, load.backlog_ms
    );
    let mut response = response.map(Full::new);
    // The words are all plain ASCII.
    if let Ok(value) = HeaderValue::from_str(&text) {
        response.headers_mut().insert(OUTCOME_HEADER, value);
    }
    response
}

fn refusal() -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Reads the answer of another node; nothing if it is none.
pub(super) fn read(mut answer: Response<Bytes>) -> Option<Report> {
    let value = answer.headers_mut().remove(OUTCOME_HEADER)?;
    let mut words = value.to_str().ok()?.split(' ');
    let kind = words.next()?.to_owned();
    let mut number = || words.next()?.parse().ok();
    let load = NodeLoad {
        requests: number()?,
        limit: number()?,
        slowdown_percent: number()?,
        request_ms: number()?,
        backlog_ms: number()?,
    };
    let mut owner = None;
    let outcome = match kind.as_str() {
        ANSWERED => Outcome::Answered(answer),
        NOT_RUN => {
            let reason = words.next()?.parse().ok()?;
            let back = words.next()?.parse().ok()?;
            owner = words.next().and_then(|word| word.parse().ok());
            Outcome::NotRun(reason, Duration::from_millis(back))
        }
        LOST => Outcome::Lost(words.next()?.parse().ok()?),
        _ => return None,
    };
    Some(Report {
        outcome,
        load: Some(load),
        owner,
    })
}
