//! The platform's metadata store, without faults.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::read_message;
use crate::http::response;

/// How often a read that waits looks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the store works on a call.
const CALL_TIME: Duration = Duration::from_millis(4);

type Records = Vec<(String, Vec<u8>)>;

/// Keeps the records of topics, each with one partition.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<HashMap<String, Records>>>,
}

impl Store {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(address)?;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record as the operator.
    pub fn write(&self, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry("keyed.op".to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_message(&mut reader)? {
            thread::sleep(CALL_TIME);
            writer.write_all(&self.answer(&call))?;
        }
        Ok(())
    }

    fn answer(&self, call: &Message) -> Vec<u8> {
        let (path, query) = call.target();
        let fields: HashMap<&str, &str> =
            query.split('&').filter_map(|f| f.split_once('=')).collect();
        let field = |name: &str| fields.get(name).copied().unwrap_or_default();
        match path {
            "/log-newest" => self.newest(field("topic"), field("after")),
            "/log-read" => self.read(field("topic"), field("from"), field("wait_ms")),
            "/log-append" => self.append(field("topic"), fields.get("as_of").copied(), &call.body),
            _ => response("404 Not Found", &[], b""),
        }
    }

    fn records(&self, topic: &str) -> Records {
        self.topics
            .lock()
            .unwrap()
            .get(topic)
            .cloned()
            .unwrap_or_default()
    }

    fn newest(&self, topic: &str, after: &str) -> Vec<u8> {
        let records = self.records(topic);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let left = newest
            .iter()
            .filter(|(key, (_, value))| **key > after && !value.is_empty());
        let items = left.map(|(key, (offset, value))| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        });
        let items: Vec<String> = items.collect();
        let body = format!(
            "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        );
        response(
            "200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    fn read(&self, topic: &str, from: &str, wait_ms: &str) -> Vec<u8> {
        let from: usize = from.parse().unwrap_or_default();
        let wait = Duration::from_millis(wait_ms.parse().unwrap_or_default());
        let until = Instant::now() + wait;
        let mut records = self.records(topic);
        while records.len() <= from && Instant::now() < until {
            thread::sleep(POLL_INTERVAL);
            records = self.records(topic);
        }
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        response("200 OK", &[], &body)
    }

    fn append(&self, topic: &str, as_of: Option<&str>, body: &[u8]) -> Vec<u8> {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        if as_of.is_some_and(|wanted| wanted != end.to_string()) {
            let body = format!("{{\"end\":{end}}}");
            return response("412 Precondition Failed", &[], body.as_bytes());
        }
        let length = usize::from(body[4]);
        let key = String::from_utf8_lossy(&body[5..5 + length]).into_owned();
        records.push((key, body[5 + length..].to_vec()));
        let body = format!("{{\"offset\":{end},\"end\":{}}}", end + 1);
        response(
            "200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
