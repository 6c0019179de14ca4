//! Clients on the hosts, which send requests at a steady rate, each on a new connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    /// The kind of request, which is its path prefix too.
    pub kind: &'static str,
    pub key: Option<u16>,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub kind: &'static str,
    /// When it was sent, in seconds since the start of the run.
    pub sent: f64,
    /// The status; 0 if there was no answer.
    pub status: u16,
}

/// Collects the outcomes.
#[derive(Clone, Default)]
pub struct Outcomes(Arc<Mutex<Vec<Outcome>>>);

impl Outcomes {
    /// Returns how many requests of a kind were sent in a span, and how many of them were served.
    pub fn served(&self, kind: &str, from: f64, until: f64) -> (usize, usize) {
        let outcomes = self.0.lock().unwrap();
        let sent = |outcome: &&Outcome| {
            (kind.is_empty() || outcome.kind == kind)
                && outcome.sent >= from
                && outcome.sent < until
        };
        let sent: Vec<&Outcome> = outcomes.iter().filter(sent).collect();
        let served = sent
            .iter()
            .filter(|outcome| outcome.status / 100 == 2)
            .count();
        (sent.len(), served)
    }

    /// Returns how many requests of a kind got no answer, or one that leaves open whether they ran.
    pub fn lost(&self, kind: &str, from: f64) -> usize {
        let outcomes = self.0.lock().unwrap();
        let sent = outcomes
            .iter()
            .filter(|outcome| outcome.kind == kind && outcome.sent >= from);
        sent.filter(|outcome| matches!(outcome.status, 0 | 502 | 504))
            .count()
    }

    /// Sends a request in a thread of its own and records its outcome.
    pub fn send(
        &self,
        node: SocketAddr,
        request: Request,
        record: &Record,
    ) -> thread::JoinHandle<()> {
        let (outcomes, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            let outcome = exchange(node, &request, &record);
            outcomes.0.lock().unwrap().push(outcome);
        })
    }
}

fn exchange(node: SocketAddr, request: &Request, record: &Record) -> Outcome {
    let id = format!("r{}", LAST_ID.fetch_add(1, Ordering::Relaxed));
    let mut headers = vec![
        ("Host", "shop.example".to_owned()),
        ("X-Request-Id", id.clone()),
        ("X-Deadline-Ms", request.deadline.as_millis().to_string()),
    ];
    if let Some(key) = request.key {
        headers.push(("X-Shard-Key", key.to_string()));
    }
    let first_line = format!("{} /{}/1 HTTP/1.1", request.method, request.kind);
    let bytes = http::encode(&first_line, &headers, &request.body);
    let sent = record.now();
    record.line(&format!("client sends {id} {} to {node}", request.kind));
    let status = http::call(node, &bytes, request.deadline).map_or(0, |answer| answer.status());
    record.line(&format!("client gets {id} {status}"));
    Outcome {
        kind: request.kind,
        sent,
        status,
    }
}
