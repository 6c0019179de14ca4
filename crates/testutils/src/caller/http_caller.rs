//! Sends requests to nodes.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use std::time::Instant;

use quetzalrack_core::document::spec::Method;
use quetzalrack_wire::headers;
use reqwest::Client;
use reqwest::Response;
use reqwest::header::HeaderMap;
use serde_json::Value;

use super::CallReport;
use super::CallRequest;
use crate::checker::AnswerRecord;
use crate::checker::SaidOutcome;

/// Sends requests over pooled connections.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    http: Client,
}

impl HttpCaller {
    /// Makes a caller that gives up after `patience`.
    pub fn new(patience: Duration) -> reqwest::Result<Self> {
        let http = Client::builder().timeout(patience).build()?;
        Ok(Self { http })
    }

    /// Calls a node and reads the whole answer.
    pub async fn call(&self, node: SocketAddr, request: &CallRequest) -> CallReport {
        let began = Instant::now();
        let answer = self.send(node, request).await;
        let mut report = match answer {
            Ok(answer) => read(request, answer).await,
            Err(error) => CallReport {
                connected: !error.is_connect(),
                ..broken(request)
            },
        };
        report.elapsed = began.elapsed();
        report
    }

    async fn send(&self, node: SocketAddr, request: &CallRequest) -> reqwest::Result<Response> {
        let url = format!("http://{node}{}", request.path_and_query());
        let call = match request.method {
            Method::Get => self.http.get(url),
            Method::Post => self.http.post(url),
            Method::Put => self.http.put(url),
            Method::Delete => self.http.delete(url),
        };
        let call = match request.idempotency {
            Some(idempotency) => call.header(headers::IDEMPOTENCY, idempotency.to_string()),
            None => call,
        };
        let call = match request.method {
            Method::Post | Method::Put => call.body(vec![b'x'; request.body_bytes]),
            Method::Get | Method::Delete => call,
        };
        call.send().await
    }
}

async fn read(request: &CallRequest, answer: Response) -> CallReport {
    let status = answer.status();
    let heads = answer.headers().clone();
    let Ok(body) = answer.bytes().await else {
        return CallReport {
            status: Some(status.as_u16()),
            ..broken(request)
        };
    };
    let first = body.split(|byte| *byte == b'\n').next().unwrap_or_default();
    let said: Value = serde_json::from_slice(first).unwrap_or_default();
    let outcome = match (status.is_success(), said["outcome"].as_str()) {
        (true, _) => SaidOutcome::Answered,
        (false, Some("not_run")) => SaidOutcome::NotRun,
        (false, Some("failed")) => SaidOutcome::Failed,
        (false, _) => SaidOutcome::Unknown,
    };
    CallReport {
        record: AnswerRecord {
            request: header(&heads, headers::REQUEST),
            outcome,
            body_target: said["target"].as_str().map(String::from),
            body_request: said["request"].as_str().and_then(|id| id.parse().ok()),
            body_bytes: body.len() as u64,
            ..broken(request).record
        },
        connected: true,
        status: Some(status.as_u16()),
        code: said["code"].as_str().map(String::from),
        server: header(&heads, headers::SERVER),
        fence: header(&heads, headers::FENCE),
        elapsed: Duration::ZERO,
    }
}

fn header<T>(heads: &HeaderMap, name: &str) -> Option<T>
where
    T: FromStr,
{
    heads.get(name)?.to_str().ok()?.parse().ok()
}

fn broken(request: &CallRequest) -> CallReport {
    CallReport {
        record: AnswerRecord {
            target: request.target(),
            idempotency: request.idempotency,
            request: None,
            outcome: SaidOutcome::Broken,
            body_target: None,
            body_request: None,
            body_bytes: 0,
            asked_bytes: request.bytes,
        },
        connected: true,
        status: None,
        code: None,
        server: None,
        fence: None,
        elapsed: Duration::ZERO,
    }
}
