//! A stand-in for the platform's store: topics of keyed records with one partition, a conditional append, reads that
//! wait, and the newest record of each key. It loses nothing and answers at once, unless it is to be silent for a while:
//! it then carries out nothing and answers nobody, and closes the connections of these calls when it is back.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, response, write_message};

type Topics = HashMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Topics>, Condvar)>,
    outage: Arc<Mutex<Outage>>,
}

#[derive(Default)]
enum Outage {
    #[default]
    None,
    /// The store falls silent with the next append, for this long.
    Armed(Duration),
    /// It is silent until this moment.
    Until(Instant),
}

impl Store {
    pub fn bind(address: SocketAddr) -> Self {
        let store = Self::default();
        let listener = TcpListener::bind(address).unwrap();
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record as the operator.
    pub fn write(&self, key: &str, value: &str) {
        let mut topics = self.shared.0.lock().unwrap();
        let records = topics.entry("keyed.op".to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.shared.1.notify_all();
    }

    /// Lets the store fall silent with the next append, which it does not carry out.
    pub fn fall_silent_at_append(&self, time: Duration) {
        *self.outage.lock().unwrap() = Outage::Armed(time);
    }

    /// Returns when the store is back, if it has fallen silent.
    pub fn back_at(&self) -> Option<Instant> {
        match *self.outage.lock().unwrap() {
            Outage::Until(until) => Some(until),
            _ => None,
        }
    }

    /// Waits until the store is back if it is silent now; returns whether it was.
    fn wait_back(&self, path: &str) -> bool {
        let until = {
            let mut outage = self.outage.lock().unwrap();
            if let Outage::Armed(time) = *outage {
                if path == "/log-append" {
                    *outage = Outage::Until(Instant::now() + time);
                }
            }
            match *outage {
                Outage::Until(until) => until,
                _ => return false,
            }
        };
        let left = until.saturating_duration_since(Instant::now());
        thread::sleep(left);
        !left.is_zero()
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.wait_back(request.path()) {
                return;
            }
            let answer = match request.path() {
                "/log-newest" => self.newest(&request),
                "/log-read" => self.read(&request),
                "/log-append" => self.append(&request),
                _ => response("404 Not Found", &[], ""),
            };
            // A read may have waited into the outage.
            if self.wait_back("") || write_message(&mut writer, &answer).is_err() {
                return;
            }
        }
    }

    fn newest(&self, request: &Message) -> Message {
        let topics = self.shared.0.lock().unwrap();
        let records = topics.get(request.query("topic").unwrap_or_default());
        let records = records.map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
        });
        let items: Vec<String> = items.collect();
        let body = format!(r#"{{"items":[{}],"more":false,"end":{}}}"#, items.join(","), records.len());
        response("200 OK", &[("Content-Type", "application/json")], body)
    }

    fn read(&self, request: &Message) -> Message {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let from = usize::try_from(number("from")).unwrap();
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let topic = request.query("topic").unwrap_or_default();
        let mut topics = self.shared.0.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return response("200 OK", &[], body);
            }
            topics = self.shared.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn append(&self, request: &Message) -> Message {
        let mut topics = self.shared.0.lock().unwrap();
        let records = topics.entry(request.query("topic").unwrap_or_default().to_owned()).or_default();
        let end = records.len();
        if request.query("as_of").is_some_and(|wanted| wanted != end.to_string()) {
            return response("412 Precondition Failed", &[], format!(r#"{{"end":{end}}}"#));
        }
        let key = usize::from(request.body[4]);
        let text = String::from_utf8(request.body[5..5 + key].to_vec()).unwrap();
        records.push((text, request.body[5 + key..].to_vec()));
        self.shared.1.notify_all();
        response("200 OK", &[], format!(r#"{{"offset":{end},"end":{}}}"#, end + 1))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}
