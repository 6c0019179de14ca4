//! A stand-in for the platform's store: the log calls that the router makes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Reply;
use crate::record::Record;

/// How long an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    /// The records of partition 0 of each topic: key and value.
    topics: HashMap<String, Vec<(Vec<u8>, Vec<u8>)>>,
    /// For how long the store goes silent when the next append arrives.
    silence_at_append: Option<Duration>,
    silent_until: Option<Instant>,
}

/// The store; it answers at one address.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(address: SocketAddr, record: Record) -> io::Result<Self> {
        let store = Self {
            state: Arc::default(),
            record,
        };
        let handler = store.clone();
        http::serve(address, move |request| handler.handle(&request))?;
        Ok(store)
    }

    /// Writes a record of the operator.
    pub fn write(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry("keyed.op".to_owned()).or_default();
        topic.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        changed.notify_all();
        self.record.line(&format!("operator writes {key}"));
    }

    /// Lets the store go silent for a time from the next append on. That append isn't carried out.
    pub fn go_silent_at_append(&self, time: Duration) {
        self.state.0.lock().unwrap().silence_at_append = Some(time);
    }

    fn handle(&self, request: &Message) -> Reply {
        let append = request.path() == "/log-append";
        if let Some(until) = self.silence(append) {
            thread::sleep(until.saturating_duration_since(Instant::now()));
            return Reply::Close;
        }
        match request.path() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.newest(request),
            _ => answer("404 Not Found", b"{}"),
        }
    }

    /// Returns until when the store is silent, if it is.
    fn silence(&self, is_append: bool) -> Option<Instant> {
        let mut state = self.state.0.lock().unwrap();
        if let Some(time) = state.silence_at_append.take_if(|_| is_append) {
            state.silent_until = Some(Instant::now() + time);
            let millis = time.as_millis();
            self.record
                .line(&format!("store goes silent for {millis} ms"));
        }
        state.silent_until.filter(|until| Instant::now() < *until)
    }

    fn append(&self, request: &Message) -> Reply {
        thread::sleep(APPEND_TIME);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let records = state.topics.entry(topic.clone()).or_default();
        let end = records.len();
        let as_of = request.query("as_of").and_then(|end| end.parse().ok());
        if as_of.is_some_and(|as_of: usize| as_of != end) {
            return answer(
                "412 Precondition Failed",
                format!("{{\"end\":{end}}}").as_bytes(),
            );
        }
        let mut rest = request.body.as_slice();
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let (framed, after) = after.split_at(u32::from_be_bytes(*length) as usize);
            let (key_length, keyed) = framed.split_first().unwrap();
            let (key, value) = keyed.split_at(usize::from(*key_length));
            records.push((key.to_vec(), value.to_vec()));
            rest = after;
        }
        let new_end = records.len();
        changed.notify_all();
        self.record
            .line(&format!("store appends to {topic} at {end}"));
        answer(
            "200 OK",
            format!("{{\"offset\":{end},\"end\":{new_end}}}").as_bytes(),
        )
    }

    fn read(&self, request: &Message) -> Reply {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or_default() as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let topic = request.query("topic").unwrap_or_default();
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let records = state
                .topics
                .get(topic)
                .map(Vec::as_slice)
                .unwrap_or_default();
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return answer("200 OK", &body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Message) -> Reply {
        let state = self.state.0.lock().unwrap();
        let topic = request.query("topic").unwrap_or_default();
        let records = state
            .topics
            .get(topic)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        let body = format!("{{\"items\":[{items}],\"more\":false,\"end\":{end}}}");
        answer("200 OK", body.as_bytes())
    }
}

fn answer(status: &str, body: &[u8]) -> Reply {
    let headers = [("Content-Type", "application/json".to_owned())];
    Reply::Bytes(http::encode(&format!("HTTP/1.1 {status}"), &headers, body))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |n, i| {
            n << 8 | u32::from(*chunk.get(i).unwrap_or(&0))
        });
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
