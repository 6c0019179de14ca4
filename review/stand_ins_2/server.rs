//! A stand-in for a backend server that is granted keys by the answers to its heartbeats.

use std::io::BufReader;
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

use crate::http;
use crate::record::Record;

/// The interval between two heartbeats, as in the settings of the pages.
pub const HEARTBEAT: Duration = Duration::from_millis(870);
/// The interval between heartbeats while keys are to be released; the pages allow 100 ms.
const RELEASING: Duration = Duration::from_millis(60);
/// How long an acknowledgement may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// First key, last key, fencing token.
pub type Row = (u16, u16, u64);

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub service: String,
    pub keyed: bool,
    pub zone: String,
    pub address: SocketAddr,
    control: SocketAddr,
    work: Duration,
    slots: usize,
    record: Arc<Record>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
pub struct State {
    /// Counts the lives of this server; 0 before the first.
    life: u64,
    pub up: bool,
    pub id: String,
    born: u64,
    sequence: u64,
    draining: bool,
    /// Whether it has said that it leaves, and sends no heartbeats any more.
    left: bool,
    pub holds: Vec<Row>,
    until: Option<Instant>,
    releasing: Vec<Row>,
    freed: Vec<(u16, u16, String)>,
    seen: Vec<u64>,
    /// The keys of the requests under way.
    running: Vec<u16>,
    connections: Vec<TcpStream>,
    pub beat_sent: Option<Instant>,
    /// The ids of all requests that were begun, with the time and the life.
    pub begun: Vec<(String, Instant, u64)>,
    pub acknowledged: Option<Instant>,
    /// When this life stops being cold.
    pub cold_until: Option<Instant>,
    /// When requests arrived at a cold life.
    pub cold_arrivals: Vec<Instant>,
}

impl Server {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        name: &str,
        service: &str,
        keyed: bool,
        zone: &str,
        ip: &str,
        work: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let server = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            keyed,
            zone: zone.to_owned(),
            address: format!("{ip}:8301").parse().unwrap(),
            control: format!("{ip}:8306").parse().unwrap(),
            work,
            slots: 9,
            record: Arc::clone(record),
            state: Arc::default(),
        };
        let beating = server.clone();
        thread::spawn(move || beating.run_beats());
        server
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Starts the next life.
    pub fn start(&self, id: &str, cold: Duration) {
        let life = {
            let mut state = self.lock();
            let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
            *state = State {
                life: state.life + 1,
                up: true,
                id: id.to_owned(),
                born: now.as_millis() as u64,
                seen: vec![0; 65_536],
                begun: std::mem::take(&mut state.begun),
                cold_until: (!cold.is_zero()).then(|| Instant::now() + cold),
                ..State::default()
            };
            state.life
        };
        self.record.add(format!("{} starts as {id}", self.name));
        let server = self.clone();
        thread::spawn(move || server.listen(life));
    }

    fn is_life(&self, life: u64) -> bool {
        let state = self.lock();
        state.up && state.life == life
    }

    fn listen(&self, life: u64) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        };
        listener.set_nonblocking(true).unwrap();
        while self.is_life(life) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    if let Ok(copy) = stream.try_clone() {
                        self.lock().connections.push(copy);
                    }
                    let server = self.clone();
                    thread::spawn(move || server.serve(life, stream).ok());
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, life: u64, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            if !self.is_life(life) {
                break;
            }
            let id = request.header("x-request-id").unwrap_or_default().to_owned();
            let echo = format!("X-Request-Id: {id}\r\n");
            let key = request.header("x-shard-key").and_then(|key| key.parse::<u16>().ok());
            let (refused, load) = {
                let mut state = self.lock();
                let expected = request.header("x-expected-instance");
                let foreign = expected.is_some_and(|expected| expected != state.id);
                let unheld = self.keyed && !key.is_some_and(|key| state.serves(key));
                let load = format!("X-Server-Load: {},0,{}\r\n", state.running.len(), self.slots);
                if !foreign && !unheld && state.cold_until.is_some_and(|end| Instant::now() < end) {
                    state.cold_arrivals.push(Instant::now());
                }
                let refused = match () {
                    () if foreign || unheld => Some("421 Misdirected Request"),
                    () if state.running.len() >= self.slots => Some("503 Service Unavailable"),
                    () => None,
                };
                if refused.is_none() {
                    state.running.push(key.unwrap_or_default());
                    let current = state.life;
                    state.begun.push((id.clone(), Instant::now(), current));
                }
                (refused, load)
            };
            if let Some(status) = refused {
                self.record.add(format!("{} answers {status} to {id}", self.name));
                let headers = format!("{echo}{load}X-Not-Executed: 1\r\n");
                http::respond(&mut writer, status, &headers, b"")?;
                continue;
            }
            self.record.add(format!("{} runs {id} key {key:?}", self.name));
            thread::sleep(self.work);
            if !self.is_life(life) {
                break;
            }
            {
                let mut state = self.lock();
                let key = key.unwrap_or_default();
                let index = state.running.iter().position(|running| *running == key);
                index.map(|index| state.running.swap_remove(index));
            }
            let headers = format!("{echo}{load}X-Server-Stamp: stamp.{id}\r\n");
            http::respond(&mut writer, "200 OK", &headers, format!("body of {id}").as_bytes())?;
        }
        Ok(())
    }

    /// Composes the next heartbeat: its path and its body.
    pub fn compose_beat(&self) -> (String, String, u64, usize) {
        let mut state = self.lock();
        state.expire();
        state.sequence += 1;
        let rows = |rows: &[Row]| {
            let rows = rows.iter().map(|(from, to, fence)| format!("[{from},{to},{fence}]"));
            rows.collect::<Vec<_>>().join(",")
        };
        let held: Vec<Row> = state.holds.iter().chain(&state.releasing).copied().collect();
        let freed = state.freed.iter().map(|(from, to, token)| format!("[{from},{to},\"{token}\"]"));
        let freed = freed.collect::<Vec<_>>().join(",");
        let cold = state.cold_until.map_or(0, |end| {
            end.saturating_duration_since(Instant::now()).as_millis()
        });
        let lists = match self.keyed {
            true => format!(",\"holds\":[{}],\"freed\":[{freed}]", rows(&held)),
            false => String::new(),
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{}\",\"cold_left\":\"{cold}ms\",\"sequence\":{},\"born\":{}{lists}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            if state.draining { "draining" } else { "ready" },
            state.sequence,
            state.born,
        );
        (format!("PUT /instances/{}", state.id), body, state.life, state.freed.len())
    }

    /// Delivers a heartbeat; returns the answer's body if it is an acknowledgement.
    pub fn deliver(&self, head: &str, body: &str) -> Option<String> {
        let headers = format!("Host: {}\r\nContent-Type: application/json\r\n", self.control);
        let answer = http::call(self.control, head, &headers, body.as_bytes(), ANSWER_TIMEOUT).ok()?;
        let is_acknowledged = answer.status() / 100 == 2 && answer.body.len() <= 4_096;
        is_acknowledged.then(|| String::from_utf8_lossy(&answer.body).into_owned())
    }

    fn beat(&self) {
        let sent = Instant::now();
        let (head, body, life, freed) = self.compose_beat();
        self.lock().beat_sent = Some(sent);
        let Some(answer) = self.deliver(&head, &body) else {
            self.record.add(format!("{} has no acknowledgement of {head} {body}", self.name));
            return;
        };
        let mut state = self.lock();
        if state.life != life || !state.up || sent.elapsed() > ANSWER_TIMEOUT {
            return;
        }
        if state.draining && state.acknowledged.is_none() {
            state.acknowledged = Some(Instant::now());
            self.record.add(format!("{} has its draining acknowledged", self.name));
        }
        state.freed.drain(..freed);
        state.apply(sent, &answer);
        let (id, rows) = (state.id.clone(), state.holds.clone());
        drop(state);
        self.record.add(format!("{} ({id}) sent {body} and got {answer}; holds {rows:?}", self.name));
    }

    fn run_beats(&self) {
        loop {
            let (up, releasing) = {
                let mut state = self.lock();
                state.finish_releases();
                let releasing = !state.releasing.is_empty() || !state.freed.is_empty();
                (state.up && !state.left, releasing)
            };
            if !up {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            self.beat();
            let releasing = releasing || !self.lock().freed.is_empty();
            let pause = if releasing { RELEASING } else { HEARTBEAT };
            let (start, life) = (Instant::now(), self.lock().life);
            while start.elapsed() < pause && self.lock().life == life {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

impl State {
    fn expire(&mut self) {
        if self.until.is_some_and(|until| Instant::now() >= until) {
            self.holds.clear();
            self.releasing.clear();
            self.until = None;
        }
    }

    /// Returns whether a key is held now and new work on it may begin.
    pub fn serves(&mut self, key: u16) -> bool {
        self.expire();
        self.holds.iter().any(|(from, to, _)| (*from..=*to).contains(&key))
    }

    fn finish_releases(&mut self) {
        self.expire();
        let running = self.running.clone();
        let busy = |row: &Row| running.iter().any(|key| (row.0..=row.1).contains(key));
        let (kept, done): (Vec<Row>, Vec<Row>) = self.releasing.iter().copied().partition(busy);
        self.releasing = kept;
        for (from, to, fence) in done {
            self.freed.push((from, to, format!("{from:04x}{to:04x}{fence:08x}")));
        }
    }

    /// Applies the answer to a heartbeat that was sent at `sent`.
    fn apply(&mut self, sent: Instant, answer: &str) {
        let (Some(rows), Some(time)) = (parse_rows(answer), parse_hold(answer)) else {
            return;
        };
        let until = sent + time;
        if until <= Instant::now() {
            return;
        }
        self.expire();
        let mut accepted: Vec<Row> = Vec::new();
        for (from, to, fence) in rows {
            let keys = usize::from(from)..=usize::from(to);
            if self.seen[keys.clone()].iter().all(|seen| *seen <= fence) {
                self.seen[keys].fill(fence);
                accepted.push((from, to, fence));
            }
        }
        for (from, to, fence) in std::mem::take(&mut self.holds) {
            let mut left = vec![(from, to)];
            for (first, last, _) in &accepted {
                left = left.into_iter().flat_map(|part| without(part, (*first, *last))).collect();
            }
            self.releasing.extend(left.into_iter().map(|(from, to)| (from, to, fence)));
        }
        self.holds = accepted;
        self.until = Some(until);
        self.finish_releases();
    }
}

fn without(part: (u16, u16), cut: (u16, u16)) -> Vec<(u16, u16)> {
    if cut.1 < part.0 || cut.0 > part.1 {
        return vec![part];
    }
    let mut left = Vec::new();
    if cut.0 > part.0 {
        left.push((part.0, cut.0 - 1));
    }
    if cut.1 < part.1 {
        left.push((cut.1 + 1, part.1));
    }
    left
}

/// Reads the rows under "holds".
fn parse_rows(answer: &str) -> Option<Vec<Row>> {
    let start = answer.find("\"holds\":[")? + "\"holds\":[".len();
    let mut rows = Vec::new();
    let mut rest = &answer[start..];
    while let Some(open) = rest.find(['[', ']']) {
        if rest[open..].starts_with(']') {
            break;
        }
        let close = rest[open..].find(']')? + open;
        let mut fields = rest[open + 1..close].split(',');
        let row = (
            fields.next()?.trim().parse().ok()?,
            fields.next()?.trim().parse().ok()?,
            fields.next()?.trim().parse().ok()?,
        );
        rows.push(row);
        rest = &rest[close + 1..];
    }
    Some(rows)
}

fn parse_hold(answer: &str) -> Option<Duration> {
    let start = answer.find("\"hold_time\":\"")? + "\"hold_time\":\"".len();
    let text = answer[start..].split('"').next()?;
    let millis = text.strip_suffix("ms")?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
