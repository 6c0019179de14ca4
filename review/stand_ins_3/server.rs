//! A stand-in for a backend server that is granted its keys with the answers to its heartbeats.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::http::Port;
use crate::http::Reply;
use crate::record::Record;

/// The platform's `heartbeat`.
const HEARTBEAT: Duration = Duration::from_millis(870);
/// How soon a server sends another heartbeat until it has released what was left out.
const RELEASE_HEARTBEAT: Duration = Duration::from_millis(90);
/// How long a server waits for the answer to a heartbeat.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer that acknowledges a heartbeat, in bytes.
const MAX_ANSWER_BYTES: usize = 4_096;
const KEYS: usize = 65_536;
/// A cold server crashes if more requests reach it within one second: twice its `cold_per_s`.
const COLD_CRASH_COUNT: usize = 50;

/// What a server is.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub keyed: bool,
    pub slots: usize,
    pub work: Duration,
    pub address: SocketAddr,
    pub control: SocketAddr,
}

/// A key as the server holds it.
#[derive(Clone, Copy, Default)]
struct Key {
    /// The token under which it is held; 0 if it isn't.
    fence: u64,
    /// The highest token that was seen.
    seen: u64,
    until: Option<Instant>,
    /// Whether it is to be released as soon as no work on it runs.
    leaving: bool,
    running: u32,
}

struct State {
    keys: Vec<Key>,
    /// Released ranges that no answer has acknowledged yet, with their handovers.
    freed: Vec<(usize, usize, String)>,
    running: usize,
    waiting: usize,
    sequence: u64,
    cold_until: Option<Instant>,
    /// When requests arrived within the last second, while the server was cold.
    recent_cold: VecDeque<Instant>,
    counts: Counts,
}

/// What was seen at a server.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub too_long: u64,
    pub longest_answer: usize,
    /// When requests arrived that may run, while the server was cold.
    pub cold_arrivals: Vec<f64>,
}

#[derive(Clone)]
pub struct Server {
    plan: Plan,
    born: u128,
    state: Arc<(Mutex<State>, Condvar)>,
    port: Arc<Mutex<Option<Port>>>,
    ended: Arc<AtomicBool>,
    record: Record,
}

impl Server {
    pub fn start(plan: Plan, record: Record) -> io::Result<Self> {
        let state = State {
            keys: vec![Key::default(); KEYS],
            freed: Vec::new(),
            running: 0,
            waiting: 0,
            sequence: 0,
            cold_until: None,
            recent_cold: VecDeque::new(),
            counts: Counts::default(),
        };
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let server = Self {
            born: born.as_millis(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            port: Arc::default(),
            ended: Arc::default(),
            record,
            plan,
        };
        let handler = server.clone();
        let port = http::serve(server.plan.address, move |request| handler.handle(&request))?;
        *server.port.lock().unwrap() = Some(port);
        let beating = server.clone();
        thread::spawn(move || beating.send_heartbeats());
        Ok(server)
    }

    pub fn id(&self) -> &str {
        &self.plan.id
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Ends the server at once, as a crash does.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(port) = self.port.lock().unwrap().take() {
            port.close();
        }
        self.record.line(&format!("{} crashes", self.plan.id));
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Returns a heartbeat that the server sends now, and that is on its way for a while.
    pub fn delayed_heartbeat(&self) -> Vec<u8> {
        let (body, _) = self.heartbeat(Instant::now());
        self.encode_heartbeat(&body)
    }

    /// Returns for each key whether the server holds it or is still at work on it.
    pub fn holds(&self) -> Vec<bool> {
        let now = Instant::now();
        let state = self.lock();
        let holds = |key: &Key| key.fence > 0 && (key.is_live(now) || key.running > 0);
        state.keys.iter().map(holds).collect()
    }

    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    /// Makes the server cold.
    pub fn grow_cold(&self, time: Duration) {
        self.lock().cold_until = Some(Instant::now() + time);
        let millis = time.as_millis();
        self.record
            .line(&format!("{} is cold for {millis} ms", self.plan.id));
    }

    /// Returns how many keys the server holds now.
    pub fn held_keys(&self) -> usize {
        let now = Instant::now();
        let state = self.lock();
        state.keys.iter().filter(|key| key.is_held(now)).count()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    fn send_heartbeats(&self) {
        while !self.ended.load(Ordering::Relaxed) {
            let releasing = self.send_heartbeat();
            thread::sleep(if releasing {
                RELEASE_HEARTBEAT
            } else {
                HEARTBEAT
            });
        }
    }

    /// Sends one heartbeat; returns whether something is still to be released.
    fn send_heartbeat(&self) -> bool {
        let sent = Instant::now();
        let (body, reported) = self.heartbeat(sent);
        let request = self.encode_heartbeat(&body);
        let answer = http::call(self.plan.control, &request, ANSWER_TIMEOUT);
        let mut state = self.lock();
        let Ok(answer) = answer else {
            return false;
        };
        let length = answer.body.len();
        state.counts.longest_answer = state.counts.longest_answer.max(length);
        if answer.status() / 100 != 2 || sent.elapsed() > ANSWER_TIMEOUT {
            return false;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if length > MAX_ANSWER_BYTES {
            state.counts.too_long += 1;
            let (id, rows) = (&self.plan.id, text.matches('[').count().saturating_sub(1));
            self.record.line(&format!(
                "{id} gets an answer of {length} bytes, {rows} rows: no acknowledgement"
            ));
            return false;
        }
        state.freed.retain(|freed| !reported.contains(freed));
        if let Some((rows, time)) = parse_holds(&text) {
            state.apply(&rows, sent + time);
        }
        state.release();
        state.keys.iter().any(|key| key.leaving) || !state.freed.is_empty()
    }

    fn encode_heartbeat(&self, body: &str) -> Vec<u8> {
        let path = format!("PUT /instances/{} HTTP/1.1", self.plan.id);
        let headers = [
            ("Host", self.plan.control.to_string()),
            ("Content-Type", "application/json".to_owned()),
        ];
        http::encode(&path, &headers, body.as_bytes())
    }

    fn heartbeat(&self, now: Instant) -> (String, Vec<(usize, usize, String)>) {
        let mut state = self.lock();
        state.release();
        state.sequence += 1;
        let holds: Vec<String> = runs(&state.keys, |key| {
            (key.fence > 0 && (key.is_live(now) || key.running > 0)).then_some(key.fence)
        })
        .iter()
        .map(|(first, last, fence)| format!("[{first},{last},{fence}]"))
        .collect();
        let freed = state.freed.clone();
        let freed_rows: Vec<String> = freed
            .iter()
            .map(|(first, last, token)| format!("[{first},{last},\"{token}\"]"))
            .collect();
        let cold = state
            .cold_until
            .map_or(0, |until| until.saturating_duration_since(now).as_millis());
        let Plan {
            service,
            zone,
            address,
            slots,
            ..
        } = &self.plan;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_left\":\"{cold}ms\",\"sequence\":{},\"born\":{},\"holds\":[{}],\"freed\":[{}]}}",
            state.sequence,
            self.born,
            holds.join(","),
            freed_rows.join(",")
        );
        (body, freed)
    }

    fn handle(&self, request: &Message) -> Reply {
        let (id, arrived) = (
            request.header("x-request-id").unwrap_or("none").to_owned(),
            Instant::now(),
        );
        if request.path() == "/healthz" {
            let mut headers = self.headers(&id);
            let cold = self.lock().cold_until.map_or(0, |until| {
                until.saturating_duration_since(arrived).as_millis()
            });
            headers.push(("X-Cold-Remaining-Ms", cold.to_string()));
            return Reply::Bytes(http::encode("HTTP/1.1 200 OK", &headers, b""));
        }
        if request.header("x-expected-instance") != Some(self.plan.id.as_str()) {
            return self.refuse("421 Misdirected Request", &id);
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.cold_until.is_some_and(|until| arrived < until) {
            let now = self.record.now();
            state.counts.cold_arrivals.push(now);
            if state.is_flooded(arrived) {
                drop(state);
                self.crash();
                return Reply::Close;
            }
        }
        let key = request
            .header("x-shard-key")
            .and_then(|key| key.parse::<usize>().ok());
        let key = key.filter(|_| self.plan.keyed);
        let holds = |state: &State| key.is_none_or(|key| state.keys[key].is_held(Instant::now()));
        if self.plan.keyed && (key.is_none() || !holds(&state)) {
            drop(state);
            return self.refuse("421 Misdirected Request", &id);
        }
        if state.waiting >= 2 * self.plan.slots {
            drop(state);
            return self.refuse("503 Service Unavailable", &id);
        }
        state.waiting += 1;
        while state.running >= self.plan.slots {
            state = changed.wait(state).unwrap();
        }
        state.waiting -= 1;
        if !holds(&state) {
            drop(state);
            return self.refuse("421 Misdirected Request", &id);
        }
        state.running += 1;
        if let Some(key) = key {
            state.keys[key].running += 1;
        }
        drop(state);
        self.record.line(&format!("{} runs {id}", self.plan.id));
        thread::sleep(self.plan.work);
        let mut state = self.lock();
        state.running -= 1;
        if let Some(key) = key {
            state.keys[key].running -= 1;
        }
        drop(state);
        changed.notify_all();
        let mut headers = self.headers(&id);
        headers.push(("X-Server-Stamp", format!("stamp-{id}")));
        Reply::Bytes(http::encode(
            "HTTP/1.1 200 OK",
            &headers,
            format!("done by {}", self.plan.id).as_bytes(),
        ))
    }

    fn refuse(&self, status: &str, id: &str) -> Reply {
        let mut headers = self.headers(id);
        headers.push(("X-Not-Executed", "1".to_owned()));
        Reply::Bytes(http::encode(&format!("HTTP/1.1 {status}"), &headers, b""))
    }

    fn headers(&self, id: &str) -> Vec<(&'static str, String)> {
        let state = self.lock();
        let load = format!(
            "{},{},{},100",
            state.running, state.waiting, self.plan.slots
        );
        vec![
            ("X-Request-Id", id.to_owned()),
            ("X-Instance-Id", self.plan.id.clone()),
            ("X-Server-Load", load),
        ]
    }
}

impl Key {
    fn is_live(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether new work on the key may begin.
    fn is_held(&self, now: Instant) -> bool {
        self.fence > 0 && !self.leaving && self.is_live(now)
    }
}

impl State {
    /// Counts a request to a cold server; returns whether it crashes.
    fn is_flooded(&mut self, now: Instant) -> bool {
        let is_old = |at: &Instant| now.duration_since(*at) >= Duration::from_secs(1);
        while self.recent_cold.front().is_some_and(is_old) {
            self.recent_cold.pop_front();
        }
        self.recent_cold.push_back(now);
        self.recent_cold.len() > COLD_CRASH_COUNT
    }

    /// Applies an answer: everything that the server is to hold.
    fn apply(&mut self, rows: &[(usize, usize, u64)], until: Instant) {
        let mut wanted = vec![0; KEYS];
        for (first, last, fence) in rows {
            // A row isn't accepted if a higher token was seen on one of its keys.
            if (*first..=*last).all(|key| self.keys[key].seen <= *fence) {
                wanted[*first..=*last].fill(*fence);
            }
        }
        for (key, fence) in self.keys.iter_mut().zip(wanted) {
            match fence {
                0 => key.leaving = key.fence > 0,
                fence => {
                    key.until = match key.fence == fence && !key.leaving {
                        true => key.until.max(Some(until)),
                        false => Some(until),
                    };
                    (key.fence, key.seen, key.leaving) = (fence, fence, false);
                }
            }
        }
    }

    /// Releases what is left out and has no work running, and drops what has expired.
    fn release(&mut self) {
        let now = Instant::now();
        for key in self
            .keys
            .iter_mut()
            .filter(|key| key.fence > 0 && key.running == 0 && !key.is_live(now))
        {
            (key.fence, key.leaving) = (0, false);
        }
        let ended = runs(&self.keys, |key| {
            (key.leaving && key.running == 0).then_some(1)
        });
        for (first, last, _) in ended {
            for key in &mut self.keys[first..=last] {
                (key.fence, key.leaving, key.until) = (0, false, None);
            }
            let token = format!(
                "{:016x}",
                (first as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.sequence
            );
            self.freed.push((first, last, token));
        }
    }
}

/// Returns the runs of neighbouring keys with the same value.
fn runs<V>(keys: &[Key], value: V) -> Vec<(usize, usize, u64)>
where
    V: Fn(&Key) -> Option<u64>,
{
    let mut runs: Vec<(usize, usize, u64)> = Vec::new();
    for (index, key) in keys.iter().enumerate() {
        let Some(number) = value(key) else {
            continue;
        };
        match runs.last_mut() {
            Some((_, last, known)) if *last + 1 == index && *known == number => *last = index,
            _ => runs.push((index, index, number)),
        }
    }
    runs
}

/// Reads the rows of an answer and how long they are held.
fn parse_holds(text: &str) -> Option<(Vec<(usize, usize, u64)>, Duration)> {
    let time = text
        .split("\"hold_time\":\"")
        .nth(1)?
        .split("ms\"")
        .next()?
        .parse()
        .ok()?;
    let start = text.find("\"holds\":[")? + "\"holds\":[".len();
    let list = &text[start..];
    let list = &list[..list.find("]]").map_or(0, |end| end + 1)];
    let mut rows = Vec::new();
    for row in list.split('[').skip(1) {
        let mut fields = row.split([',', ']']);
        let mut number = || fields.next()?.trim().parse::<u64>().ok();
        rows.push((number()? as usize, number()? as usize, number()?));
    }
    Some((rows, Duration::from_millis(time)))
}
