//! A backend server that keeps the users' pages: heartbeats, keys that it holds, requests.

use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http::Message;
use crate::http::call;
use crate::http::read_message;
use crate::http::response;
use crate::record::Record;

/// Size of the key space.
pub const KEYS: usize = 65_536;
/// How many requests wait at a server whose slots are in use.
const QUEUE: usize = 48;
/// The longest body of an answer that acknowledges a heartbeat.
const MAX_ANSWER: usize = 4_096;
/// How long an answer to a heartbeat may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval of heartbeats while keys are being released.
const RELEASING_INTERVAL: Duration = Duration::from_millis(80);
/// How often a server looks whether a caller is still there, and whether it has to end.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// One request in so many is a long one.
const LONG_SHARE: usize = 8;
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// What a server is.
#[derive(Clone)]
pub struct ServerPlan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub listen: SocketAddr,
    pub control: SocketAddr,
    pub sharded: bool,
    pub slots: usize,
    pub heartbeat: Duration,
    pub work: Duration,
    /// How long one request in eight takes.
    pub long_work: Duration,
    /// Whether keys are granted by calls, not with the answers to heartbeats.
    pub by_call: bool,
}

/// One execution of a request.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub key: Option<u16>,
    pub begun: Instant,
    /// Whether the server answered it; if not, it was broken off.
    pub answered: bool,
}

/// A faulty server's second answers: `per_cent` of its answers at most, each a copy that comes late, where
/// the next response on the connection is expected.
#[derive(Clone, Copy)]
pub struct SecondAnswers {
    pub per_cent: usize,
    pub of: Copied,
}

/// Which answers come a second time.
#[derive(Clone, Copy, PartialEq)]
pub enum Copied {
    /// Those that say that a request was not run.
    Refusals,
    /// Those to calls that grant keys, where the next call on the connection is a release.
    Grants,
}

/// What a server gave since its fault began.
#[derive(Clone, Copy, Default)]
pub struct Given {
    pub answers: usize,
    pub refusals: usize,
    pub second: usize,
}

#[derive(Clone, Copy)]
struct Hold {
    fence: u64,
    until: Instant,
    /// Whether it is to be released once no request runs on it.
    releasing: bool,
}

struct State {
    alive: bool,
    draining: bool,
    /// Whether heartbeats are sent.
    beats: bool,
    /// Whether keys are granted by calls.
    by_call: bool,
    sequence: u64,
    holds: Vec<Option<Hold>>,
    seen: Vec<u64>,
    freed: Vec<(u16, u16, String)>,
    running: Vec<Option<u16>>,
    streams: Vec<TcpStream>,
    /// The share of requests that a grey server refuses.
    shed: f64,
    second: Option<SecondAnswers>,
    given: Given,
    random: u64,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub plan: ServerPlan,
    pub born: u128,
    state: Arc<Mutex<State>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        plan: ServerPlan,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(plan.listen)?;
        listener.set_nonblocking(true)?;
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let random = plan
            .id
            .bytes()
            .fold(7, |seed: u64, byte| seed * 31 + u64::from(byte));
        let state = State {
            alive: true,
            draining: false,
            beats: true,
            by_call: plan.by_call,
            sequence: 0,
            holds: vec![None; KEYS],
            seen: vec![0; KEYS],
            freed: Vec::new(),
            running: Vec::new(),
            streams: Vec::new(),
            shed: 0.0,
            second: None,
            given: Given::default(),
            random,
        };
        let server = Self {
            plan,
            born: since.unwrap().as_millis(),
            state: Arc::new(Mutex::new(state)),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        };
        SERVERS.lock().unwrap().push(server.clone());
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = server.clone();
        thread::spawn(move || beating.send_heartbeats());
        Ok(server)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Ends the process: its port refuses connections, and open ones break.
    pub fn exit(&self) {
        let mut state = self.lock();
        state.alive = false;
        for stream in state.streams.drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Says in the heartbeats from now on that it is leaving.
    pub fn drain(&self) {
        self.lock().draining = true;
    }

    pub fn stop_heartbeats(&self) {
        self.lock().beats = false;
    }

    pub fn set_shed(&self, share: f64) {
        self.lock().shed = share;
    }

    pub fn set_second_answers(&self, second: Option<SecondAnswers>) {
        let mut state = self.lock();
        state.second = second;
        state.given = Given::default();
    }

    pub fn given(&self) -> Given {
        self.lock().given
    }

    /// Returns the fence with which it holds a key now, and for how long it still does.
    pub fn holds(&self, key: usize) -> Option<(u64, Duration)> {
        let state = self.lock();
        let hold = state.holds[key].filter(|hold| !hold.releasing && state.alive)?;
        let left = hold.until.checked_duration_since(Instant::now())?;
        Some((hold.fence, left))
    }

    /// Sends the final call of a server that leaves; returns whether it was acknowledged.
    pub fn leave(&self) -> bool {
        let head = format!("DELETE /instances/{}", self.plan.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let body = format!("{{\"born\":{}}}", self.born);
        let answer = call(
            self.plan.control,
            &head,
            &headers,
            body.as_bytes(),
            ANSWER_TIMEOUT,
        );
        answer.is_ok_and(|answer| answer.status() / 100 == 2)
    }

    /// Takes the next heartbeat without sending it: it is held up on its way.
    pub fn take_heartbeat(&self) -> Heartbeat {
        self.next_heartbeat()
    }

    fn send_heartbeats(&self) {
        while self.lock().alive {
            if self.lock().beats {
                let heartbeat = self.next_heartbeat();
                self.send(&heartbeat);
            }
            let releasing = {
                let state = self.lock();
                !state.by_call && state.holds.iter().flatten().any(|hold| hold.releasing)
            };
            let pause = if releasing {
                RELEASING_INTERVAL
            } else {
                self.plan.heartbeat
            };
            thread::sleep(pause);
        }
    }

    fn next_heartbeat(&self) -> Heartbeat {
        let mut state = self.lock();
        state.expire();
        if !state.by_call {
            state.finish_releases();
        }
        state.sequence += 1;
        let holds = state
            .rows()
            .into_iter()
            .map(|(first, last, fence)| format!("[{first},{last},{fence}]"));
        let holds: Vec<String> = holds.collect();
        let freed = state
            .freed
            .iter()
            .map(|(first, last, token)| format!("[{first},{last},\"{token}\"]"));
        let freed_rows: Vec<String> = freed.collect();
        let plan = &self.plan;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{}\",\"cold_left\":\"0ms\",\"sequence\":{},\"born\":{},\"holds\":[{}],\"freed\":[{}]}}",
            plan.service,
            plan.listen,
            plan.zone,
            plan.slots,
            if state.draining { "draining" } else { "ready" },
            state.sequence,
            self.born,
            holds.join(","),
            freed_rows.join(",")
        );
        Heartbeat {
            id: plan.id.clone(),
            control: plan.control,
            sequence: state.sequence,
            freed: state.freed.len(),
            body,
        }
    }

    fn send(&self, heartbeat: &Heartbeat) {
        let sent = Instant::now();
        let Some(answer) = heartbeat.send() else {
            return;
        };
        if answer.status() / 100 != 2 || answer.body.len() > MAX_ANSWER {
            return;
        }
        let mut state = self.lock();
        let acknowledged = heartbeat.freed.min(state.freed.len());
        state.freed.drain(..acknowledged);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if let Some((rows, time)) = parse_answer(&text) {
            let changed = state.apply(&rows, sent + time);
            if changed {
                let rows: Vec<String> = rows
                    .iter()
                    .map(|(a, b, fence)| format!("{a}-{b}#{fence}"))
                    .collect();
                self.record.line(format!(
                    "{} is told to hold {} for {} ms from its heartbeat {}",
                    self.plan.id,
                    if rows.is_empty() {
                        "nothing".to_owned()
                    } else {
                        rows.join(" ")
                    },
                    time.as_millis(),
                    heartbeat.sequence
                ));
            }
        }
    }

    fn accept(&self, listener: &TcpListener) {
        while self.lock().alive {
            match listener.accept() {
                Ok((stream, _)) => {
                    let served = self.clone();
                    if stream.set_nonblocking(false).is_ok() {
                        thread::spawn(move || served.serve(stream));
                    }
                }
                Err(_) => thread::sleep(ACCEPT_INTERVAL),
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        {
            let mut state = self.lock();
            if !state.alive {
                return Ok(());
            }
            state.streams.push(stream.try_clone()?);
        }
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        // The copy of an earlier answer on this connection that is still to come.
        let mut second: Option<Vec<u8>> = None;
        // The last answer on this connection, if it was to a grant.
        let mut granted: Option<Vec<u8>> = None;
        while let Some(request) = read_message(&mut reader)? {
            if request.target().0 == "/release" {
                second = granted.take().filter(|_| self.may_copy_grant());
            }
            if let Some(copy) = second.take() {
                self.record.line(format!(
                    "{} sends the second answer to an earlier request while it has received {}",
                    self.plan.id,
                    request.header("x-request-id").unwrap_or(&request.first)
                ));
                writer.write_all(&copy)?;
            }
            let Some(answer) = self.answer(&request, &stream) else {
                // The caller has left.
                return Ok(());
            };
            writer.write_all(&answer.bytes)?;
            if let Some(index) = answer.run {
                self.runs.lock().unwrap()[index].answered = true;
            }
            let is_grant =
                request.target().0 == "/grant" && answer.bytes.starts_with(b"HTTP/1.1 200");
            granted = is_grant.then(|| answer.bytes.clone());
            second = self.count_answer(&request, &answer);
        }
        Ok(())
    }

    /// Counts an answer; returns a copy of it if a second one is to come late.
    fn count_answer(&self, request: &Message, answer: &Answer) -> Option<Vec<u8>> {
        let mut state = self.lock();
        state.given.answers += 1;
        state.given.refusals += usize::from(answer.refusal);
        let fault = state.second?;
        let limit = fault.per_cent * state.given.answers / 100;
        if fault.of != Copied::Refusals || !answer.refusal || state.given.second >= limit {
            return None;
        }
        state.given.second += 1;
        self.record.line(format!(
            "{} has refused {} and will send that answer a second time",
            self.plan.id,
            request.header("x-request-id").unwrap_or("-")
        ));
        Some(answer.bytes.clone())
    }

    /// Returns whether an answer to a grant may come a second time.
    fn may_copy_grant(&self) -> bool {
        let mut state = self.lock();
        let Some(fault) = state.second.filter(|fault| fault.of == Copied::Grants) else {
            return false;
        };
        let allowed = state.given.second < fault.per_cent * state.given.answers / 100;
        state.given.second += usize::from(allowed);
        allowed
    }

    fn answer(&self, request: &Message, stream: &TcpStream) -> Option<Answer> {
        match request.target().0 {
            "/grant" => return Some(self.grant(&request.body)),
            "/release" => return Some(self.release(&request.body)),
            _ => {}
        }
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let key: Option<u16> = request
            .header("x-shard-key")
            .and_then(|key| key.parse().ok());
        let refuse = |status: &str| Answer {
            bytes: response(
                status,
                &[
                    ("X-Request-Id", id.as_str()),
                    ("X-Not-Executed", "1"),
                    ("X-Instance-Id", self.plan.id.as_str()),
                ],
                b"",
            ),
            refusal: true,
            run: None,
        };
        if id.is_empty() {
            return Some(refuse("400 Bad Request"));
        }
        let begun = Instant::now();
        {
            let mut state = self.lock();
            state.expire();
            let held = !self.plan.sharded || key.is_some_and(|key| state.serves(key));
            if request.header("x-expected-instance") != Some(self.plan.id.as_str()) || !held {
                return Some(refuse("421 Misdirected Request"));
            }
            let share = state.shed;
            if state.draw() < share || state.running.len() >= self.plan.slots + QUEUE {
                return Some(refuse("503 Service Unavailable"));
            }
            state.running.push(key);
        }
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                server: self.plan.id.clone(),
                key,
                begun,
                answered: false,
            });
            runs.len() - 1
        };
        let finished = self.work(begun, request, stream);
        {
            let mut state = self.lock();
            if let Some(place) = state.running.iter().position(|running| *running == key) {
                state.running.swap_remove(place);
            }
        }
        let stamp = format!("stamp-{}", self.plan.id);
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Stamp", stamp.as_str()),
        ];
        finished.then(|| Answer {
            bytes: response("200 OK", &headers, b"done"),
            refusal: false,
            run: Some(index),
        })
    }

    /// Handles a call that grants keys.
    fn grant(&self, body: &[u8]) -> Answer {
        let text = String::from_utf8_lossy(body).into_owned();
        let Some((range, time)) = parse_grant(&text) else {
            return Answer::plain("400 Bad Request", &[]);
        };
        let (first, last, fence) = range;
        let now = Instant::now();
        let is_new = {
            let mut state = self.lock();
            state.expire();
            let keys = usize::from(first)..=usize::from(last);
            if state.seen[keys.clone()].iter().any(|seen| *seen > fence) {
                return Answer::plain("409 Conflict", &[]);
            }
            let is_new = state.seen[keys.clone()].iter().any(|seen| *seen < fence);
            state.seen[keys.clone()].fill(fence);
            let hold = Hold {
                fence,
                until: now + time,
                releasing: false,
            };
            state.holds[keys].fill(Some(hold));
            is_new
        };
        self.check_fence(first, last, fence);
        if is_new {
            self.record.line(format!(
                "{} is granted {first}-{last}#{fence} for {} ms",
                self.plan.id,
                time.as_millis()
            ));
            self.check_others(first, last);
        }
        Answer::plain("200 OK", &[])
    }

    /// Handles a call that releases keys; the answer comes when the work on them has ended.
    fn release(&self, body: &[u8]) -> Answer {
        let text = String::from_utf8_lossy(body).into_owned();
        let Some((first, last, fence)) = parse_range(&text) else {
            return Answer::plain("400 Bad Request", &[]);
        };
        let keys = usize::from(first)..=usize::from(last);
        {
            let mut state = self.lock();
            state.expire();
            for hold in state.holds[keys.clone()].iter_mut().flatten() {
                hold.releasing = true;
            }
            let busy = state
                .running
                .iter()
                .flatten()
                .filter(|key| (first..=last).contains(key))
                .count();
            self.record.line(format!(
                "{} is to release {first}-{last}#{fence}; {busy} requests run there",
                self.plan.id
            ));
        }
        while self
            .lock()
            .running
            .iter()
            .flatten()
            .any(|key| (first..=last).contains(key))
        {
            thread::sleep(ACCEPT_INTERVAL);
        }
        let mut state = self.lock();
        for hold in &mut state.holds[keys] {
            if hold.is_some_and(|hold| hold.releasing) {
                *hold = None;
            }
        }
        let token = format!("{:016x}", fence << 16 | u64::from(first));
        Answer::plain("200 OK", &[("X-Handover", token.as_str())])
    }

    /// Records whether another server, or another life of this one, had one of these keys with a fence that
    /// is not lower.
    fn check_fence(&self, first: u16, last: u16, fence: u64) {
        let life = format!("{}, born {}", self.plan.id, self.born);
        let mut fences = FENCES.lock().unwrap();
        fences.resize(KEYS, (0, String::new()));
        let mut stale = None;
        for (known, holder) in &mut fences[usize::from(first)..=usize::from(last)] {
            if *known >= fence && *holder != life {
                stale.get_or_insert_with(|| (*known, holder.clone()));
            }
            if *known <= fence {
                (*known, *holder) = (fence, life.clone());
            }
        }
        if let Some((known, holder)) = stale {
            STALE.lock().unwrap().push(format!(
                "{life}, takes {first}-{last} with the fence {fence}; {holder}, had keys of these with {known}"
            ));
        }
    }

    /// Records whether another server is still at work on keys that this one is granted, before that one's
    /// hold would have run out.
    fn check_others(&self, first: u16, last: u16) {
        let others = SERVERS.lock().unwrap().clone();
        for other in others.iter().filter(|other| other.plan.id != self.plan.id) {
            let state = other.lock();
            let now = Instant::now();
            let at_work = state.running.iter().flatten().filter(|key| {
                let hold = state.holds[usize::from(**key)];
                (first..=last).contains(key) && hold.is_some_and(|hold| hold.until > now)
            });
            let at_work: Vec<&u16> = at_work.collect();
            if let Some(key) = at_work.first() {
                let hold = state.holds[usize::from(**key)].unwrap();
                AT_WORK.lock().unwrap().push(format!(
                    "{} is granted {first}-{last} while {} is still at work on {} of these keys, one of them {key}, \
                     which it would have held for {} ms more",
                    self.plan.id,
                    other.plan.id,
                    at_work.len(),
                    (hold.until - now).as_millis()
                ));
            }
        }
    }

    /// Works on a request; returns false if the caller has left or the server has ended meanwhile.
    fn work(&self, begun: Instant, request: &Message, stream: &TcpStream) -> bool {
        let deadline = request
            .header("x-deadline-ms")
            .and_then(|text| text.parse().ok());
        let deadline = Duration::from_millis(deadline.unwrap_or(u64::MAX));
        let id = request.header("x-request-id").unwrap_or_default();
        let is_long = id.bytes().map(usize::from).sum::<usize>() % LONG_SHARE == 0;
        let work = if is_long {
            self.plan.long_work
        } else {
            self.plan.work
        };
        let work = work.min(deadline);
        loop {
            let left = work.saturating_sub(begun.elapsed());
            if left.is_zero() {
                return self.lock().alive;
            }
            thread::sleep(left.min(LOOK_INTERVAL));
            if !self.lock().alive || has_left(stream) {
                return false;
            }
        }
    }
}

/// Returns whether the caller has closed its connection.
fn has_left(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let looked = stream.peek(&mut [0; 1]);
    stream.set_nonblocking(false).ok();
    match looked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// All servers of this run.
static SERVERS: Mutex<Vec<Server>> = Mutex::new(Vec::new());
/// The highest fence of each key, and the life of a server that had it.
static FENCES: Mutex<Vec<(u64, String)>> = Mutex::new(Vec::new());
/// What [`Server::check_fence`] has found.
pub static STALE: Mutex<Vec<String>> = Mutex::new(Vec::new());
/// What [`Server::check_others`] has found.
pub static AT_WORK: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Answer {
    bytes: Vec<u8>,
    /// Whether it says that the request was not run.
    refusal: bool,
    /// The run that it answers.
    run: Option<usize>,
}

impl Answer {
    fn plain(status: &str, headers: &[(&str, &str)]) -> Self {
        Self {
            bytes: response(status, headers, b""),
            refusal: false,
            run: None,
        }
    }
}

/// A heartbeat that is ready to be sent.
pub struct Heartbeat {
    pub id: String,
    pub control: SocketAddr,
    pub sequence: u64,
    pub body: String,
    /// How many released ranges it reports.
    freed: usize,
}

impl Heartbeat {
    /// Makes a heartbeat with any body.
    pub fn foreign(id: &str, control: SocketAddr, body: String) -> Self {
        Self {
            id: id.to_owned(),
            control,
            sequence: 1,
            body,
            freed: 0,
        }
    }

    pub fn send(&self) -> Option<Message> {
        let head = format!("PUT /instances/{}", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        call(
            self.control,
            &head,
            &headers,
            self.body.as_bytes(),
            ANSWER_TIMEOUT,
        )
        .ok()
    }
}

impl State {
    /// Draws a number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as f64 / (1_u64 << 31) as f64
    }

    fn serves(&self, key: u16) -> bool {
        self.holds[usize::from(key)].is_some_and(|hold| !hold.releasing)
    }

    /// Drops what has expired; it is not reported as released.
    fn expire(&mut self) {
        let now = Instant::now();
        for hold in &mut self.holds {
            if hold.is_some_and(|hold| hold.until <= now) {
                *hold = None;
            }
        }
    }

    /// Applies an answer to a heartbeat; returns whether it changes what is held.
    fn apply(&mut self, rows: &[(u16, u16, u64)], until: Instant) -> bool {
        self.expire();
        if until <= Instant::now() {
            return false;
        }
        let before = self.rows();
        let mut wanted: Vec<u64> = vec![0; KEYS];
        for (first, last, fence) in rows {
            let keys = usize::from(*first)..=usize::from(*last);
            if self.seen[keys.clone()].iter().all(|seen| seen <= fence) {
                wanted[keys.clone()].fill(*fence);
                self.seen[keys].fill(*fence);
            }
        }
        for (hold, fence) in self.holds.iter_mut().zip(wanted) {
            match (fence, hold.as_mut()) {
                (0, Some(hold)) => hold.releasing = true,
                (0, None) => {}
                (fence, _) => {
                    *hold = Some(Hold {
                        fence,
                        until,
                        releasing: false,
                    });
                }
            }
        }
        self.finish_releases();
        before != self.rows()
    }

    /// Frees the keys that are to be released and on which no request runs.
    fn finish_releases(&mut self) {
        let busy: HashMap<u16, ()> = self
            .running
            .iter()
            .flatten()
            .map(|key| (*key, ()))
            .collect();
        let mut first: Option<u16> = None;
        for index in 0..=KEYS {
            let free = index < KEYS
                && self.holds[index].is_some_and(|hold| hold.releasing)
                && !busy.contains_key(&(index as u16));
            if free {
                self.holds[index] = None;
                first.get_or_insert(index as u16);
            } else if let Some(first) = first.take() {
                let token = format!("{:016x}", self.sequence << 16 | u64::from(first));
                self.freed.push((first, (index - 1) as u16, token));
            }
        }
    }

    /// Returns the ranges that are held, or on which requests still run.
    fn rows(&self) -> Vec<(u16, u16, u64)> {
        let mut rows: Vec<(u16, u16, u64)> = Vec::new();
        for (index, hold) in self.holds.iter().enumerate() {
            let Some(hold) = hold else { continue };
            let key = index as u16;
            match rows.last_mut() {
                Some((_, last, fence))
                    if *fence == hold.fence && usize::from(*last) + 1 == index =>
                {
                    *last = key
                }
                _ => rows.push((key, key, hold.fence)),
            }
        }
        rows
    }
}

/// Returns the number behind a name in a JSON text.
fn number(text: &str, name: &str) -> Option<u64> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1;
    let end = rest.find(|digit: char| !digit.is_ascii_digit())?;
    rest[..end].parse().ok()
}

fn parse_range(text: &str) -> Option<(u16, u16, u64)> {
    let first = u16::try_from(number(text, "from")?).ok()?;
    let last = u16::try_from(number(text, "target_version")?).ok()?;
    Some((first, last, number(text, "fence")?))
}

fn parse_grant(text: &str) -> Option<((u16, u16, u64), Duration)> {
    let time = text.split_once("\"hold_time\":\"")?.1.split_once("ms\"")?.0;
    Some((
        parse_range(text)?,
        Duration::from_millis(time.parse().ok()?),
    ))
}

/// Parses an answer to a heartbeat; `None` if it renews nothing.
fn parse_answer(text: &str) -> Option<(Vec<(u16, u16, u64)>, Duration)> {
    let time = text.split_once("\"hold_time\":\"")?.1.split_once("ms\"")?.0;
    let time = Duration::from_millis(time.parse().ok()?);
    let rows = text.split_once("\"holds\":[")?.1;
    let mut parsed = Vec::new();
    for row in rows.split('[').skip(1) {
        let mut fields = row.split(']').next()?.split(',');
        let first = fields.next()?.trim().parse().ok()?;
        let last = fields.next()?.trim().parse().ok()?;
        let fence = fields.next()?.trim().parse().ok()?;
        parsed.push((first, last, fence));
    }
    Some((parsed, time))
}
