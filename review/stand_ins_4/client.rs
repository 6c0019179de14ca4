//! A client of one machine, which sends one request after the other, each on a connection of its own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{exchange, message};
use crate::record::Record;

const DEADLINE: Duration = Duration::from_millis(2_000);

/// What a client sent, and when.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub status: Option<u16>,
}

#[derive(Clone)]
pub struct Client {
    pub machine: usize,
    pub address: SocketAddr,
    pub method: &'static str,
    pub path: &'static str,
    pub keyed: bool,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    pub numbers: Arc<AtomicU64>,
    pub record: Record,
}

impl Client {
    pub fn send_next(&self) {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let id = format!("c{}-{number:06}", self.machine);
        let key = (number.wrapping_mul(40_503) % 65_536).to_string();
        let deadline = DEADLINE.as_millis().to_string();
        let mut headers = vec![
            ("Host", "shop.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", deadline.as_str()),
        ];
        if self.keyed {
            headers.push(("X-Shard-Key", key.as_str()));
        }
        let request = message(format!("{} {} HTTP/1.1", self.method, self.path), &headers, "");
        let at = Instant::now();
        let answer = exchange(self.address, &request, DEADLINE + Duration::from_millis(200));
        let status = answer.as_ref().map(|answer| answer.status());
        let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).unwrap_or_default();
        self.record.note(format!("client {id} {} {} -> {status:?} {text}", self.method, self.path));
        self.sent.lock().unwrap().push(Sent { id, at, status });
    }
}
