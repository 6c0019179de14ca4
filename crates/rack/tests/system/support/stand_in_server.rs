//! A stand-in for a backend server that holds keys by heartbeat and checks them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::any;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;

use super::call_grants::Call;
use super::call_grants::CallFault;
use super::call_grants::CallGrants;
use super::truth::HeldRange;
use super::truth::Truth;

/// The time between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(300);
/// How soon the next one follows while something is to be released.
const RELEASING_HEARTBEAT: Duration = Duration::from_millis(50);
/// How often a new life tries to open the port of the one before.
const REBIND_INTERVAL: Duration = Duration::from_millis(2);
/// The span over which arrivals at a cold server are counted.
const SECOND: Duration = Duration::from_secs(1);
/// How long a heartbeat waits for its answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Says where a server is and what it is for.
#[derive(Clone)]
pub struct ServerPlan {
    pub id: String,
    pub service: String,
    pub keyed: bool,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The address that it tells, which leads to where it listens.
    pub advertised: SocketAddr,
    /// Where its heartbeats go.
    pub control: SocketAddr,
}

/// Is a server and what it has seen.
#[derive(Clone)]
pub struct StandInServer {
    plan: ServerPlan,
    pub(super) truth: Arc<Truth>,
    state: Arc<Mutex<ServerState>>,
    port: Arc<Mutex<Option<AbortHandle>>>,
}

#[derive(Default)]
pub(super) struct ServerState {
    id: String,
    started_ms: u64,
    sequence: u64,
    holds: Vec<HeldRange>,
    /// What it holds by calls, where keys come that way.
    pub(super) call_grants: CallGrants,
    /// What it was told to release, until nothing works on it any more.
    releasing: Vec<HeldRange>,
    until: Option<Instant>,
    /// Keys that are being worked on.
    pub(super) working: Vec<u16>,
    freed: Vec<(u16, u16, String)>,
    callers: Vec<String>,
    last_run: Option<Instant>,
    /// When requests came that it did not send away as meant for another.
    arrivals: Vec<Instant>,
    /// Until when this life is cold.
    cold_until: Option<Instant>,
    draining: bool,
    acknowledged: Option<Instant>,
    service_time: Duration,
    drop_responses: bool,
    answer_bytes: usize,
    echo: bool,
    pub(super) dead: bool,
}

/// Is a heartbeat that is about to be sent.
struct PendingHeartbeat {
    incarnation: String,
    url: String,
    body: Value,
    /// What it says was released; said again until it is acknowledged.
    freed: Vec<(u16, u16, String)>,
}

/// Returns the body with which a server answers a request when it echoes: what only this request's
/// answer can be, of a length that differs.
pub fn echo_of(id: &str) -> String {
    let seed = id.bytes().fold(7_usize, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(usize::from(byte))
    });
    format!("{id}|{}|{id}", ".".repeat(seed % 9_000))
}

impl StandInServer {
    /// Starts a server.
    pub async fn spawn(plan: ServerPlan, truth: Arc<Truth>) -> Self {
        let server = Self {
            state: Arc::default(),
            port: Arc::default(),
            truth,
            plan,
        };
        server.rename(&server.plan.id);
        server.open_port();
        while TcpStream::connect(server.plan.listen).await.is_err() {
            tokio::time::sleep(REBIND_INTERVAL).await;
        }
        tokio::spawn(server.clone().run_heartbeats());
        server
    }

    /// Listens, and closes all connections of the life before.
    fn open_port(&self) {
        let server = self.clone();
        let serving = tokio::spawn(async move { server.serve().await });
        self.replace_port(Some(serving.abort_handle()));
    }

    fn replace_port(&self, port: Option<AbortHandle>) {
        let earlier = std::mem::replace(&mut *self.port.lock().unwrap(), port);
        earlier.inspect(AbortHandle::abort);
    }

    async fn serve(self) {
        let listener = loop {
            // The port of the life before is free a moment after that one has ended.
            match TcpListener::bind(self.plan.listen).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            }
        };
        let router = Router::new().fallback(any(answer)).with_state(self);
        // Dropped with this incarnation, it ends every connection.
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let service = TowerToHyperService::new(router.clone());
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            connections.spawn(connection);
        }
    }

    /// Ends this incarnation: it holds nothing, its port is closed, and it sends no heartbeats until it is born
    /// again.
    pub fn crash(&self) {
        self.replace_port(None);
        let incarnation = self.incarnation();
        self.lock().dead = true;
        self.truth.drop_all(&incarnation);
    }

    /// Starts the next incarnation, under the same id or another; it knows nothing of the one before.
    pub fn restart_as(&self, id: &str) {
        let incarnation = self.incarnation();
        self.truth.drop_all(&incarnation);
        self.rename(id);
        self.open_port();
    }

    fn rename(&self, id: &str) {
        let mut state = self.lock();
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let now = u64::try_from(now.unwrap().as_millis()).unwrap();
        let kept = ServerState {
            echo: state.echo,
            service_time: state.service_time,
            answer_bytes: state.answer_bytes,
            ..ServerState::default()
        };
        *state = ServerState {
            id: id.to_owned(),
            started_ms: now.max(state.started_ms + 1),
            ..kept
        };
    }

    /// Returns the id of this life and its birth.
    pub fn incarnation(&self) -> String {
        let state = self.lock();
        format!("{}@{}", state.id, state.started_ms)
    }

    /// Says that it will leave.
    pub fn drain(&self) {
        self.lock().draining = true;
    }

    /// Breaks the connection after it has run a request.
    pub fn drop_responses(&self, lose: bool) {
        self.lock().drop_responses = lose;
    }

    /// Makes every request take this long.
    pub fn set_service_time(&self, service_time: Duration) {
        self.lock().service_time = service_time;
    }

    /// Makes every answer this long.
    pub fn set_response_bytes(&self, bytes: usize) {
        self.lock().answer_bytes = bytes;
    }

    /// Answers with what only the request's own answer can be.
    pub fn set_echo(&self) {
        self.lock().echo = true;
    }

    /// Returns how often a request has run here.
    pub fn runs(&self, request: &str) -> u32 {
        self.count(request, false)
    }

    /// Returns how often a request's work was done here, and not given up before.
    pub fn finished(&self, request: &str) -> u32 {
        self.count(request, true)
    }

    fn count(&self, request: &str, finished: bool) -> u32 {
        let incarnation = self.incarnation();
        let runs = self.truth.runs(request);
        let own = runs.iter().filter(|run| run.server == incarnation);
        u32::try_from(own.filter(|run| run.finished || !finished).count()).unwrap()
    }

    /// Makes this life cold for a while.
    pub fn set_cold(&self, time: Duration) {
        self.lock().cold_until = Some(Instant::now() + time);
    }

    /// Returns how many requests came to this life within its busiest second.
    pub fn busiest_second(&self) -> usize {
        let state = self.lock();
        let all = &state.arrivals;
        let within = |from: &Instant| {
            let later = all.iter().filter(|at| *at >= from);
            later.take_while(|at| **at < *from + SECOND).count()
        };
        all.iter().map(within).max().unwrap_or_default()
    }

    /// Returns the services that were named as callers.
    pub fn callers(&self) -> Vec<String> {
        self.lock().callers.clone()
    }

    /// Says what becomes of the calls that grant it keys.
    pub fn set_calls(&self, fault: CallFault) {
        self.lock().call_grants.fault = fault;
    }

    /// Returns how many ranges it was asked to release.
    pub fn released(&self) -> u32 {
        self.lock().call_grants.released
    }

    /// Returns how many keys it holds now.
    pub fn keys(&self) -> u32 {
        let state = self.lock();
        let called = state.call_grants.held();
        let held = state
            .holds
            .iter()
            .chain(called.iter().map(|called| &called.row));
        held.map(|(first, last, _)| u32::from(*last) - u32::from(*first) + 1)
            .sum()
    }

    /// Returns how long after the acknowledgement of its leaving the last request came.
    pub fn ran_after_drain(&self) -> Duration {
        let state = self.lock();
        match (state.last_run, state.acknowledged) {
            (Some(run), Some(acknowledged)) => run.saturating_duration_since(acknowledged),
            _ => Duration::ZERO,
        }
    }

    /// Tells whether its leaving was acknowledged.
    pub fn is_drain_acknowledged(&self) -> bool {
        self.lock().acknowledged.is_some()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap()
    }

    async fn run_heartbeats(self) {
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        loop {
            let releasing = self.send_heartbeat(&http).await;
            tokio::time::sleep(if releasing {
                RELEASING_HEARTBEAT
            } else {
                HEARTBEAT
            })
            .await;
        }
    }

    /// Sends one heartbeat; tells whether something is still to be released.
    async fn send_heartbeat(&self, http: &reqwest::Client) -> bool {
        let Some(heartbeat) = self.next_heartbeat() else {
            return false;
        };
        let sent = Instant::now();
        let call = http
            .put(heartbeat.url)
            .json(&heartbeat.body)
            .timeout(HEARTBEAT_TIMEOUT);
        let answer = call.send().await;
        if let Ok(answer) = answer
            && answer.status().is_success()
            && let Ok(answer) = answer.json::<Value>().await
            && self.incarnation() == heartbeat.incarnation
        {
            self.handle_reply(&heartbeat.incarnation, sent, &heartbeat.freed, &answer);
        }
        !self.lock().releasing.is_empty()
    }

    fn next_heartbeat(&self) -> Option<PendingHeartbeat> {
        let incarnation = self.incarnation();
        let mut state = self.lock();
        if state.dead {
            return None;
        }
        if state.until.is_some_and(|until| Instant::now() >= until) {
            // What has run out is not reported as released.
            state.holds.clear();
            state.releasing.clear();
        }
        state.finish_releases();
        state.sequence += 1;
        let mut holds = state.holds.clone();
        holds.extend(&state.releasing);
        let body = json!({
            "service": self.plan.service, "address": self.plan.advertised, "zone": "zone",
            "version": "v1", "slots": 10, "state": if state.draining { "draining" } else { "ready" },
            "cold_left": format!("{}ms", state.cold_left().as_millis()), "sequence": state.sequence, "born": state.started_ms, "holds": holds,
            "freed": state.freed,
        });
        let url = format!("http://{}/instances/{}", self.plan.control, state.id);
        Some(PendingHeartbeat {
            incarnation,
            url,
            body,
            freed: state.freed.clone(),
        })
    }

    fn handle_reply(
        &self,
        incarnation: &str,
        sent: Instant,
        told: &[(u16, u16, String)],
        answer: &Value,
    ) {
        let mut state = self.lock();
        state.freed.retain(|freed| !told.contains(freed));
        if state.draining && state.acknowledged.is_none() {
            state.acknowledged = Some(Instant::now());
        }
        let granted =
            serde_json::from_value::<Vec<(u16, u16, u64, String)>>(answer["holds"].clone());
        let Ok(granted) = granted else {
            return;
        };
        let time = answer["hold_time"].as_str().unwrap();
        let time = time.strip_suffix("ms").unwrap().parse().unwrap();
        let until = sent + Duration::from_millis(time);
        if until <= Instant::now() {
            return;
        }
        let next: Vec<HeldRange> = granted
            .iter()
            .map(|(a, b, fence, _)| (*a, *b, *fence))
            .collect();
        let mut held = state.holds.clone();
        held.append(&mut state.releasing);
        let released = held.iter().flat_map(|row| subtract_ranges(*row, &next));
        state.releasing = released.collect();
        state.holds.clone_from(&next);
        state.until = Some(until);
        state.finish_releases();
        let mut all = next;
        all.extend(&state.releasing);
        let all: Vec<(HeldRange, Instant)> = all.into_iter().map(|row| (row, until)).collect();
        self.truth.hold(incarnation, &all);
    }

    /// Sends the last call of a server that leaves.
    pub async fn deregister(&self) {
        let url = format!("http://{}/instances/{}", self.plan.control, self.lock().id);
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        // Nobody may be there to hear it.
        http.delete(url)
            .timeout(HEARTBEAT_TIMEOUT)
            .send()
            .await
            .ok();
    }
}

/// Returns the parts of a row that none of the others covers.
pub(super) fn subtract_ranges(row: HeldRange, others: &[HeldRange]) -> Vec<HeldRange> {
    let (_, last, fence) = row;
    let mut others: Vec<&HeldRange> = others.iter().collect();
    others.sort_unstable();
    let mut parts = Vec::new();
    // Beyond the last key there is none, so keys are counted in a wider type.
    let mut next = u32::from(row.0);
    for (from, to, _) in others {
        if u32::from(*to) < next || *from > last {
            continue;
        }
        if u32::from(*from) > next {
            parts.push((u16::try_from(next).unwrap(), from - 1, fence));
        }
        next = u32::from(*to) + 1;
    }
    if next <= u32::from(last) {
        parts.push((u16::try_from(next).unwrap(), last, fence));
    }
    parts
}

impl ServerState {
    fn cold_left(&self) -> Duration {
        let until = self.cold_until.unwrap_or_else(Instant::now);
        until.saturating_duration_since(Instant::now())
    }

    /// Releases what nothing works on any more.
    fn finish_releases(&mut self) {
        let working = self.working.clone();
        let (busy, done): (Vec<HeldRange>, Vec<HeldRange>) = self
            .releasing
            .drain(..)
            .partition(|(first, last, _)| working.iter().any(|key| (first..=last).contains(&key)));
        self.releasing = busy;
        let sequence = self.sequence;
        let freed = done.into_iter().map(|(first, last, _)| {
            let word = format!("word-{sequence}-{first}");
            (first, last, word)
        });
        self.freed.extend(freed);
    }

    fn holds(&self, key: u16) -> bool {
        if self.call_grants.holds(key) {
            return true;
        }
        let mut held = self.holds.iter();
        let valid = self.until.is_some_and(|until| Instant::now() < until);
        valid && held.any(|(first, last, _)| (*first..=*last).contains(&key))
    }
}

/// Marks a key as worked on for as long as this lives.
struct Working {
    state: Arc<Mutex<ServerState>>,
    key: Option<u16>,
}

impl Drop for Working {
    fn drop(&mut self) {
        if let (Some(key), Ok(mut state)) = (self.key, self.state.lock()) {
            let place = state.working.iter().position(|working| *working == key);
            place.map(|place| state.working.swap_remove(place));
        }
    }
}

async fn answer(
    State(server): State<StandInServer>,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if matches!(uri.path(), "/grant" | "/release") {
        return match Call::parse(uri.path(), &body) {
            Some(call) => server.handle_call(call).await,
            None => StatusCode::BAD_REQUEST.into_response(),
        };
    }
    let text = |name: &str| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let (id, key) = (text("x-request-id"), text("x-shard-key").parse().ok());
    let refused = [("x-not-executed", "1"), ("x-request-id", id.as_str())];
    let incarnation = server.incarnation();
    let (service_time, lose, long, echo, _working) = {
        let mut state = server.lock();
        if state.dead {
            return StatusCode::BAD_GATEWAY.into_response();
        }
        let held = !server.plan.keyed || key.is_none_or(|key| state.holds(key));
        if text("x-expected-instance") != state.id || !held {
            return (StatusCode::MISDIRECTED_REQUEST, refused, "").into_response();
        }
        state.callers.push(text("x-caller-service"));
        let now = Instant::now();
        state.last_run = Some(now);
        state.arrivals.push(now);
        state.working.extend(key);
        let working = Working {
            state: Arc::clone(&server.state),
            key,
        };
        let (long, echo) = (state.answer_bytes, state.echo);
        (
            state.service_time,
            state.drop_responses,
            long,
            echo,
            working,
        )
    };
    server.truth.begin(&id, &incarnation);
    if echo {
        check_echoed(&server.truth, &id, &text("x-caller-service"), &body);
    }
    // A caller that hangs up ends this here.
    tokio::time::sleep(service_time).await;
    server.truth.finish(&id, &incarnation);
    let stamp = format!("stamp-of-{incarnation}");
    let stamped = [
        ("x-server-stamp", stamp.as_str()),
        ("x-request-id", id.as_str()),
    ];
    let text = match (long, echo) {
        (0, false) => format!("done by {}", server.plan.id),
        (0, true) => echo_of(&id),
        (long, _) => "x".repeat(long),
    };
    if lose {
        // A body that breaks off before its announced end.
        let broken = futures::stream::iter([Ok("half"), Err(std::io::Error::other("cut"))]);
        return (stamped, Body::from_stream(broken)).into_response();
    }
    (stamped, text).into_response()
}

/// Checks what a client of the soak sent: its id ends in the service of the host to which it was sent,
/// and its body, if it has one, is its id.
fn check_echoed(truth: &Truth, id: &str, caller: &str, body: &[u8]) {
    if !id.ends_with(&format!("-{caller}")) {
        truth.record_violation(format!("{id} came with {caller} as its origin"));
    }
    if !body.is_empty() && body != id.as_bytes() {
        truth.record_violation(format!("{id} came with another body"));
    }
}
