//! A stand-in for the platform's metadata store: a log with keyed topics.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// How the store treats appends.
pub const SERVES: u8 = 0;
/// It reads them, does not carry them out and gives no response.
pub const SILENT_APPENDS: u8 = 1;
/// It answers that it is full.
pub const FULL: u8 = 2;

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<Mutex<BTreeMap<String, Vec<Vec<u8>>>>>,
    pub mode: Arc<AtomicU8>,
    /// How many appends were not carried out.
    pub refused: Arc<AtomicU64>,
    pub appended: Arc<AtomicU64>,
}

impl Store {
    pub fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Self {
            address: listener.local_addr().expect("a bound address"),
            topics: Arc::default(),
            mode: Arc::default(),
            refused: Arc::default(),
            appended: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream).ok());
            }
        });
        store
    }

    /// Writes a record of the operator.
    pub fn write(&self, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry("keyed.op".to_owned()).or_default().push(record);
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let (path, query) = request.first[1].split_once('?').unwrap_or_default();
            let query: BTreeMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let topic = query.get("topic").copied().unwrap_or_default();
            let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
            match path {
                "/log-append" => match self.mode.load(Ordering::SeqCst) {
                    SILENT_APPENDS => {
                        self.refused.fetch_add(1, Ordering::SeqCst);
                        // The caller gives up and closes the connection.
                        http::read(&mut reader)?;
                        return Ok(());
                    }
                    FULL => {
                        self.refused.fetch_add(1, Ordering::SeqCst);
                        http::respond(&mut writer, "507 Insufficient Storage", "", b"{}")?;
                    }
                    _ => {
                        thread::sleep(Duration::from_millis(4));
                        let (status, body) = self.append(topic, number("as_of"), &request.body);
                        http::respond(&mut writer, status, JSON, body.as_bytes())?;
                    }
                },
                "/log-read" => {
                    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                    let body = self.read(topic, number("from").unwrap_or(0) as usize, wait);
                    http::respond(&mut writer, "200 OK", "", &body)?;
                }
                "/log-newest" => {
                    let body = self.newest(topic);
                    http::respond(&mut writer, "200 OK", JSON, body.as_bytes())?;
                }
                _ => http::respond(&mut writer, "404 Not Found", "", b"")?,
            }
        }
        Ok(())
    }

    fn append(&self, topic: &str, as_of: Option<u64>, body: &[u8]) -> (&'static str, String) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        if as_of.is_some_and(|as_of| as_of != offset) {
            return ("412 Precondition Failed", format!("{{\"end\":{offset}}}"));
        }
        let mut rest = body;
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            records.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        self.appended.fetch_add(1, Ordering::SeqCst);
        let end = records.len();
        ("200 OK", format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let end = Instant::now() + wait;
        loop {
            {
                let topics = self.topics.lock().unwrap();
                let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
                if records.len() > from || Instant::now() >= end {
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend(0_u64.to_be_bytes());
                    for record in records.iter().skip(from) {
                        body.extend((record.len() as u32).to_be_bytes());
                        body.extend(record);
                    }
                    return body;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = &record[length + 1..];
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (offset, value)),
            };
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        )
    }
}

const JSON: &str = "Content-Type: application/json\r\n";

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
