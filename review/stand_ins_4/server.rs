//! A stand-in for a backend server.
//!
//! It sends a heartbeat every 870 ms, and within 100 ms while it has keys to release. It takes an answer that arrives
//! within a second and has at most 4 KiB. A hold counts from the sending of the heartbeat. It runs a request only if
//! the request names it and, if its service is divided by key, while it holds the key.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{Message, exchange, message, read_message, response, write_message};
use crate::json::Json;
use crate::record::Record;

pub const HEARTBEAT: Duration = Duration::from_millis(870);
const RELEASING_HEARTBEAT: Duration = Duration::from_millis(90);
const MAX_ANSWER_BYTES: usize = 4_096;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const PORT_POLL: Duration = Duration::from_millis(2);

/// First key, last key and fencing token.
pub type Row = (u16, u16, u64);

/// How servers are granted keys.
#[derive(Clone, Copy, PartialEq)]
pub enum Grants {
    /// In the answers to their heartbeats.
    Heartbeat,
    /// By calls.
    Call,
}

impl Grants {
    /// Returns its name in the settings and the configuration.
    pub fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Call => "request",
        }
    }
}

#[derive(Clone)]
pub struct Plan {
    pub service: String,
    pub zone: String,
    pub keyed: bool,
    pub grants: Grants,
    pub address: SocketAddr,
    /// Where the node beside the server takes heartbeats.
    pub control: SocketAddr,
    pub work: Duration,
}

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub begun: Instant,
    pub ended: Option<&'static str>,
}

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub born: u64,
    plan: Plan,
    record: Record,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    sequence: u64,
    holds: Vec<Row>,
    held_until: Option<Instant>,
    /// What it was granted by calls, each with its end.
    calls: Vec<(Row, Instant)>,
    releasing: Vec<Row>,
    freed: Vec<(u16, u16, String)>,
    seen: Vec<Row>,
    running_keys: Vec<u16>,
    runs: Vec<Run>,
    acknowledged: Option<Instant>,
    ended: bool,
    /// Whether it sends heartbeats.
    silent: bool,
    open: HashMap<u64, TcpStream>,
    connections: u64,
}

/// A heartbeat as it was written, to be sent now or later.
#[derive(Clone)]
pub struct Heartbeat {
    request: Message,
    freed: Vec<(u16, u16, String)>,
}

impl Server {
    /// Starts the next life of a server; `first_heartbeat` is how long after its start it sends the first heartbeat.
    pub fn start(id: &str, plan: Plan, first_heartbeat: Duration, record: &Record) -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
        let server = Self {
            id: id.to_owned(),
            born: since.as_millis() as u64,
            plan,
            record: record.clone(),
            state: Arc::default(),
        };
        server.note("starts");
        let listener = server.listen();
        listener.set_nonblocking(true).unwrap();
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let sending = server.clone();
        thread::spawn(move || {
            thread::sleep(first_heartbeat);
            sending.send_heartbeats();
        });
        server
    }

    fn listen(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.plan.address) {
                Ok(listener) => return listener,
                Err(_) => thread::sleep(PORT_POLL),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn note(&self, text: &str) {
        self.record.note(format!("server {} at {} {text}", self.id, self.plan.address.ip()));
    }

    /// Ends this life: its port and connections close, and it holds nothing any more.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.ended = true;
        state.holds.clear();
        state.calls.clear();
        for stream in state.open.values() {
            stream.shutdown(Shutdown::Both).ok();
        }
        drop(state);
        self.note("ends");
    }

    pub fn is_up(&self) -> bool {
        !self.lock().ended
    }

    /// Stops its heartbeats; it goes on serving.
    pub fn stop_heartbeats(&self) {
        self.lock().silent = true;
    }

    /// Returns what it holds now.
    pub fn holds(&self) -> Vec<Row> {
        let state = self.lock();
        if state.ended {
            return Vec::new();
        }
        let now = Instant::now();
        let by_heartbeat = state.holds.iter().filter(|_| state.held_until.is_some_and(|until| now < until));
        let by_call = state.calls.iter().filter(|(_, until)| now < *until).map(|(row, _)| row);
        by_heartbeat.chain(by_call).copied().collect()
    }

    pub fn key_count(&self) -> u32 {
        self.holds().iter().map(|(first, last, _)| u32::from(*last) - u32::from(*first) + 1).sum()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns when its last heartbeat was acknowledged.
    pub fn acknowledged(&self) -> Option<Instant> {
        self.lock().acknowledged
    }

    /// Says that it leaves; returns when that was acknowledged.
    pub fn leave(&self, timeout: Duration) -> Option<Instant> {
        self.stop_heartbeats();
        let until = Instant::now() + timeout;
        let host = self.plan.control.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let request = message(format!("DELETE /instances/{} HTTP/1.1", self.id), &headers, body);
        while Instant::now() < until {
            self.note("sends DELETE");
            let answer = exchange(self.plan.control, &request, ANSWER_TIMEOUT);
            if answer.is_some_and(|answer| answer.status() / 100 == 2) {
                self.note("has the acknowledgement of its DELETE");
                return Some(Instant::now());
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Writes the next heartbeat.
    pub fn next_heartbeat(&self) -> Heartbeat {
        let mut state = self.lock();
        if state.held_until.is_some_and(|until| Instant::now() >= until) {
            // A lease that has run out is not reported as freed.
            state.holds.clear();
            state.releasing.clear();
        }
        state.finish_releases();
        state.sequence += 1;
        let rows: Vec<String> = state.holds.iter().chain(&state.releasing)
            .map(|(first, last, fence)| format!("[{first},{last},{fence}]")).collect();
        let freed: Vec<String> = state.freed.iter()
            .map(|(first, last, handover)| format!(r#"[{first},{last},"{handover}"]"#)).collect();
        let Plan { service, zone, address, control, keyed, .. } = &self.plan;
        let mut body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":18,"state":"ready","cold_left":"0ms","sequence":{},"born":{}"#,
            state.sequence, self.born
        );
        if *keyed && self.plan.grants == Grants::Heartbeat {
            body += &format!(r#","holds":[{}],"freed":[{}]"#, rows.join(","), freed.join(","));
        }
        body += "}";
        let host = control.to_string();
        let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
        Heartbeat {
            request: message(format!("PUT /instances/{} HTTP/1.1", self.id), &headers, body),
            freed: state.freed.clone(),
        }
    }

    /// Sends a heartbeat that was held up on its way; its sender takes no answer any more.
    pub fn deliver_late(&self, heartbeat: &Heartbeat) -> Option<u16> {
        let answer = exchange(self.plan.control, &heartbeat.request, ANSWER_TIMEOUT);
        let status = answer.map(|answer| answer.status());
        if status.is_some() {
            let text = String::from_utf8_lossy(&heartbeat.request.body).into_owned();
            self.note(&format!("late heartbeat of {} arrives: {text} -> {status:?}", self.id));
        }
        status
    }

    fn send_heartbeats(&self) {
        loop {
            if !self.is_up() {
                return;
            }
            if !self.lock().silent {
                self.send_heartbeat();
            }
            let releasing = !self.lock().releasing.is_empty();
            thread::sleep(if releasing { RELEASING_HEARTBEAT } else { HEARTBEAT });
        }
    }

    fn send_heartbeat(&self) {
        let heartbeat = self.next_heartbeat();
        let sent = Instant::now();
        let Some(answer) = exchange(self.plan.control, &heartbeat.request, ANSWER_TIMEOUT) else {
            return;
        };
        let in_time = sent.elapsed() < ANSWER_TIMEOUT;
        if answer.status() / 100 != 2 || answer.body.len() > MAX_ANSWER_BYTES || !in_time {
            return;
        }
        let body = Json::parse(&String::from_utf8_lossy(&answer.body));
        let mut state = self.lock();
        if state.ended {
            return;
        }
        state.acknowledged = Some(Instant::now());
        state.freed.retain(|freed| !heartbeat.freed.contains(freed));
        let rows = body.as_ref().and_then(|body| body.get("holds"));
        let time = body.as_ref().and_then(|body| body.get("hold_time")).and_then(Json::text);
        let (Some(rows), Some(time)) = (rows, time.and_then(parse_time)) else {
            return;
        };
        let row = |row: &Json| {
            let number = |index: usize| row.list().get(index)?.number();
            Some((number(0)? as u16, number(1)? as u16, number(2)?))
        };
        let rows: Vec<Row> = rows.list().iter().filter_map(row).collect();
        let text = state.take_rows(&rows, sent + time);
        drop(state);
        if let Some(text) = text {
            self.note(&format!("holds {text}for {} ms", time.as_millis()));
        }
    }

    fn accept(&self, listener: &TcpListener) {
        while self.is_up() {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let mut state = self.lock();
                    state.connections += 1;
                    let number = state.connections;
                    state.open.insert(number, stream.try_clone().unwrap());
                    drop(state);
                    let server = self.clone();
                    thread::spawn(move || {
                        server.serve(stream);
                        server.lock().open.remove(&number);
                    });
                }
                Err(_) => thread::sleep(PORT_POLL),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if !self.is_up() {
                return;
            }
            let answer = match request.path() {
                "/grant" => Some(self.take_grant(&request)),
                "/release" => Some(self.release(&request)),
                _ => self.handle(&request, reader.get_ref()),
            };
            let Some(answer) = answer else { return };
            if write_message(&mut writer, &answer).is_err() {
                return;
            }
        }
    }

    /// Takes a grant by call unless it has seen a higher token on one of the keys. The hold counts from its arrival.
    fn take_grant(&self, request: &Message) -> Message {
        let arrived = Instant::now();
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let time = body.as_ref().and_then(|body| body.get("hold_time")).and_then(Json::text).and_then(parse_time);
        let (Some(row), Some(time)) = (body.as_ref().and_then(called_row), time) else {
            return response("400 Bad Request", &[], "");
        };
        let mut state = self.lock();
        if state.seen.iter().any(|seen| seen.0 <= row.1 && row.0 <= seen.1 && seen.2 > row.2) {
            return response("409 Conflict", &[], "");
        }
        let is_first = !state.seen.contains(&row);
        if is_first {
            state.seen.push(row);
        }
        state.drop_called(row);
        state.calls.push((row, arrived + time));
        drop(state);
        if is_first {
            self.note(&format!("takes the grant {row:?} for {} ms", time.as_millis()));
        }
        response("200 OK", &[], "")
    }

    /// Releases keys, and answers when the work on them has ended.
    fn release(&self, request: &Message) -> Message {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let Some(row) = body.as_ref().and_then(called_row) else {
            return response("400 Bad Request", &[], "");
        };
        self.lock().drop_called(row);
        self.note(&format!("releases {row:?}"));
        while self.is_up() && self.lock().running_keys.iter().any(|key| (row.0..=row.1).contains(key)) {
            thread::sleep(Duration::from_millis(3));
        }
        let handover = format!("{:016x}", row.2 * 65_536 + u64::from(row.0));
        response("200 OK", &[("X-Handover", handover.as_str())], "")
    }

    /// Runs a request; returns `None` if its connection has closed meanwhile.
    fn handle(&self, request: &Message, stream: &TcpStream) -> Option<Message> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        if request.path() == "/healthz" {
            return Some(response("200 OK", &[("X-Instance-Id", &self.id)], ""));
        }
        let key: Option<u16> = request.header("x-shard-key").and_then(|key| key.parse().ok());
        let holds = self.holds();
        let held = key.is_some_and(|key| holds.iter().any(|(first, last, _)| (*first..=*last).contains(&key)));
        let named = request.header("x-expected-instance");
        if named.is_some_and(|named| named != self.id) || (self.plan.keyed && !held) {
            self.note(&format!("rejects {id} with 421, named {}", named.unwrap_or("nobody")));
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1"), ("X-Instance-Id", &self.id)];
            return Some(response("421 Misdirected Request", &headers, ""));
        }
        let number = {
            let mut state = self.lock();
            state.running_keys.extend(key);
            state.runs.push(Run { id: id.clone(), begun: Instant::now(), ended: None });
            state.runs.len() - 1
        };
        self.note(&format!("runs {id} {} key {key:?}", request.first_line));
        let finished = self.work(stream);
        let mut state = self.lock();
        let running = state.running_keys.iter().position(|running| Some(*running) == key);
        running.map(|index| state.running_keys.swap_remove(index));
        state.runs[number].ended = Some(if finished { "answered" } else { "dropped" });
        drop(state);
        if !finished {
            self.note(&format!("drops {id}: its connection has closed"));
            return None;
        }
        let stamp = format!("stamp.{}.{id}", self.id);
        let headers = [("X-Request-Id", id.as_str()), ("X-Server-Stamp", &stamp), ("X-Server-Load", "1,0,18")];
        Some(response("200 OK", &headers, format!("{id} by {}", self.id)))
    }

    /// Works on a request; returns whether its connection stayed open.
    fn work(&self, stream: &TcpStream) -> bool {
        let until = Instant::now() + self.plan.work;
        stream.set_read_timeout(Some(Duration::from_millis(10))).ok();
        let mut open = true;
        while open && Instant::now() < until {
            open = self.is_up();
            match stream.peek(&mut [0]) {
                Ok(0) => open = false,
                Ok(_) => thread::sleep(Duration::from_millis(5)),
                Err(error) => open &= error.kind() == std::io::ErrorKind::WouldBlock,
            }
        }
        stream.set_read_timeout(None).ok();
        open
    }
}

impl State {
    fn drop_called(&mut self, row: Row) {
        let parts = |(held, until): (Row, Instant)| without(held, &[row]).into_iter().map(move |part| (part, until));
        self.calls = std::mem::take(&mut self.calls).into_iter().flat_map(parts).collect();
    }

    /// Takes the rows of an answer; returns their text if they differ from the rows held before.
    fn take_rows(&mut self, rows: &[Row], until: Instant) -> Option<String> {
        let fits = |row: &&Row| {
            !self.seen.iter().any(|seen| seen.0 <= row.1 && row.0 <= seen.1 && seen.2 > row.2)
        };
        let next: Vec<Row> = rows.iter().filter(fits).copied().collect();
        let mut before = std::mem::take(&mut self.holds);
        let changed = before != next;
        before.append(&mut self.releasing);
        self.releasing = before.iter().flat_map(|row| without(*row, &next)).collect();
        for row in &next {
            if !self.seen.contains(row) {
                self.seen.push(*row);
            }
        }
        self.holds = next;
        self.held_until = Some(until);
        self.finish_releases();
        changed.then(|| self.holds.iter().map(|(a, b, fence)| format!("[{a},{b},{fence}] ")).collect())
    }

    fn finish_releases(&mut self) {
        let running = self.running_keys.clone();
        let (busy, done): (Vec<Row>, Vec<Row>) = std::mem::take(&mut self.releasing)
            .into_iter()
            .partition(|row| running.iter().any(|key| (row.0..=row.1).contains(key)));
        self.releasing = busy;
        for (first, last, fence) in done {
            self.freed.push((first, last, format!("{:016x}", fence * 65_536 + u64::from(first))));
        }
    }
}

fn called_row(body: &Json) -> Option<Row> {
    let number = |name: &str| body.get(name)?.number();
    Some((number("from")? as u16, number("target_version")? as u16, number("fence")?))
}

/// Returns the parts of a row that no other row covers.
fn without(row: Row, others: &[Row]) -> Vec<Row> {
    let mut others = others.to_vec();
    others.sort_unstable();
    let (mut parts, mut next) = (Vec::new(), u32::from(row.0));
    for (first, last, _) in others {
        if u32::from(last) < next || first > row.1 {
            continue;
        }
        if u32::from(first) > next {
            parts.push((next as u16, first - 1, row.2));
        }
        next = u32::from(last) + 1;
    }
    if next <= u32::from(row.1) {
        parts.push((next as u16, row.1, row.2));
    }
    parts
}

fn parse_time(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    Duration::try_from_secs_f64(number.parse::<f64>().ok()? * unit).ok()
}
