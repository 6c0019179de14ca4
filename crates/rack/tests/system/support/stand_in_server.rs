//! A stand-in for a backend server that is granted keys and checks each request against them.

use std::collections::HashSet;
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
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
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
use super::content_checker::Content;
use super::copying_stream::CopiedResponses;
use super::copying_stream::CopyingStream;
use super::raw_answers::RawRecord;
use super::raw_answers::serve_raw;
use super::truth::HeldRange;
use super::truth::Truth;

/// Interval between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(300);
/// Interval between heartbeats while keys are being released.
const RELEASING_HEARTBEAT: Duration = Duration::from_millis(50);
/// Interval between attempts to bind the port of the previous incarnation.
const REBIND_INTERVAL: Duration = Duration::from_millis(2);
/// Window over which requests to a cold server are counted.
const SECOND: Duration = Duration::from_secs(1);
/// Port of the node beside a server for its calls.
const CLIENT_PORT: u16 = 8_304;
/// How long a server works on a content under which it ends.
const END_DELAY: Duration = Duration::from_millis(15);
/// How long a server that has ended under a content is away.
const END_DOWNTIME: Duration = Duration::from_millis(400);
/// How much of a body belongs to the content; longer ones only count by length and digest.
const MAX_CONTENT_BYTES: usize = 64 * 1024;
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Addresses and service of a server.
#[derive(Clone)]
pub struct ServerPlan {
    pub id: String,
    pub service: String,
    pub keyed: bool,
    pub listen: SocketAddr,
    /// Address reported in heartbeats, which leads to `listen`.
    pub advertised: SocketAddr,
    /// Destination of its heartbeats.
    pub control: SocketAddr,
}

/// A stand-in server and what it has recorded.
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
    /// Keys held by calls, if the settings grant keys that way.
    pub(super) call_grants: CallGrants,
    /// Ranges to be released once no requests are running on them.
    releasing: Vec<HeldRange>,
    held_until: Option<Instant>,
    /// Keys of running requests.
    pub(super) running: Vec<u16>,
    released: Vec<(u16, u16, String)>,
    callers: Vec<String>,
    last_run: Option<Instant>,
    /// Arrival times of the requests that were not refused as misdirected.
    arrivals: Vec<Instant>,
    /// When this incarnation ceases to be cold.
    cold_until: Option<Instant>,
    draining: bool,
    /// Whether it sends no heartbeats any more.
    silent: bool,
    /// Ids of requests that it refuses when they first arrive.
    refused_once: HashSet<String>,
    /// Which responses it sends twice.
    copied: Arc<Mutex<CopiedResponses>>,
    /// Value of the header with its rate limit, if it names one.
    limit: Option<String>,
    /// Whether its responses say that it is leaving.
    leaving: bool,
    /// After how many seconds it says that it closes idle connections.
    idle_timeout: Option<u32>,
    /// How many connections it has accepted.
    connections: usize,
    acknowledged: Option<Instant>,
    service_time: Duration,
    drop_responses: bool,
    response_bytes: usize,
    echo: bool,
    pub(super) dead: bool,
    /// How often this server has ended under a content.
    ended: u32,
    /// Whether it starts again after such an end.
    restarts: bool,
}

/// A heartbeat ready to be sent.
pub struct PendingHeartbeat {
    incarnation: String,
    url: String,
    body: Value,
    /// Ranges reported as released; reported again until acknowledged.
    released: Vec<(u16, u16, String)>,
}

/// Returns the body of a response in echo mode: unique to the request and of a varying length.
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
        server.set_restarts(true);
        server.open_port();
        while TcpStream::connect(server.plan.listen).await.is_err() {
            tokio::time::sleep(REBIND_INTERVAL).await;
        }
        tokio::spawn(server.clone().run_heartbeats());
        server
    }

    /// Listens, and closes all connections of the previous incarnation.
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
            // The previous incarnation's port becomes free shortly after its task is aborted.
            match TcpListener::bind(self.plan.listen).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            }
        };
        let counting = self.clone();
        let router = Router::new()
            .fallback(any(handle_request))
            .layer(DefaultBodyLimit::disable())
            .with_state(self);
        // Dropped with this incarnation, which closes every connection.
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            counting.lock().connections += 1;
            let copied = Arc::clone(&counting.lock().copied);
            let stream = CopyingStream::new(stream, copied);
            let service = TowerToHyperService::new(router.clone());
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            connections.spawn(connection);
        }
    }

    /// Ends this incarnation: drops its keys, closes its port, and sends no heartbeats until
    /// restarted.
    pub fn crash(&self) {
        self.replace_port(None);
        let incarnation = self.incarnation();
        self.lock().dead = true;
        self.truth.drop_all(&incarnation);
    }

    /// Makes a call by way of the node beside this server; returns whether it was served.
    async fn call(&self, id: &str, path: &str, key: Option<u16>) -> bool {
        let node = SocketAddr::new(self.plan.listen.ip(), CLIENT_PORT);
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let mut request = http
            .get(format!("http://{node}{path}"))
            .header("host", "shop.example")
            .header("x-request-id", format!("{id}.call-{}", self.incarnation()))
            .header("x-deadline-ms", "900");
        if let Some(key) = key {
            request = request.header("x-shard-key", key.to_string());
        }
        let response = request.send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Ends under a content and starts again a little later, under an id of its own.
    fn end_under(&self, content: &Content) {
        let incarnation = self.incarnation();
        let ended = {
            let mut state = self.lock();
            // Another copy of the content may have ended it already.
            if std::mem::replace(&mut state.dead, true) {
                return;
            }
            state.ended += 1;
            state.ended
        };
        self.truth.contents.ended(content, &incarnation);
        self.crash();
        let server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(END_DOWNTIME).await;
            // It may have been started again, or removed, in the meantime.
            if server.incarnation() == incarnation && server.lock().restarts {
                server.restart_as(&format!("{}-{ended}", server.plan.id));
            }
        });
    }

    /// Sets whether the server starts again by itself after it has ended under a content.
    pub fn set_restarts(&self, restarts: bool) {
        self.lock().restarts = restarts;
    }

    /// Starts the next incarnation under this id, with no state of the previous one.
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
            response_bytes: state.response_bytes,
            ended: state.ended,
            restarts: state.restarts,
            ..ServerState::default()
        };
        *state = ServerState {
            id: id.to_owned(),
            started_ms: now.max(state.started_ms + 1),
            ..kept
        };
    }

    /// Returns the id and start time of this incarnation.
    pub fn incarnation(&self) -> String {
        let state = self.lock();
        format!("{}@{}", state.id, state.started_ms)
    }

    /// Reports in heartbeats and in all responses that it is draining.
    pub fn drain(&self) {
        let mut state = self.lock();
        state.draining = true;
        state.leaving = true;
    }

    /// Says in all responses that it is leaving, and nothing in heartbeats.
    pub fn leave_by_response(&self) {
        self.lock().leaving = true;
    }

    /// Says in all responses after how many seconds it closes idle connections.
    pub fn set_idle_timeout(&self, seconds: u32) {
        self.lock().idle_timeout = Some(seconds);
    }

    /// Returns how many connections this incarnation has accepted.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Names a rate limit in all responses; a text that is no rate is named as it is.
    pub fn name_limit(&self, limit: Option<&str>) {
        let incarnation = self.incarnation();
        let rate = limit.and_then(|limit| limit.parse().ok());
        self.truth.notices.named(&incarnation, rate);
        self.lock().limit = limit.map(str::to_owned);
    }

    /// Sets whether the connection breaks after each executed request.
    pub fn drop_responses(&self, lose: bool) {
        self.lock().drop_responses = lose;
    }

    /// Sets the service time of every request.
    pub fn set_service_time(&self, service_time: Duration) {
        self.lock().service_time = service_time;
    }

    /// Sets the length of every response.
    pub fn set_response_bytes(&self, bytes: usize) {
        self.lock().response_bytes = bytes;
    }

    /// Makes every response unique to its request.
    pub fn set_echo(&self) {
        self.lock().echo = true;
    }

    /// Returns how often this incarnation started executing a request.
    pub fn runs(&self, request: &str) -> u32 {
        self.count(request, false)
    }

    /// Returns how often this incarnation finished a request that was not cancelled.
    pub fn finished(&self, request: &str) -> u32 {
        self.count(request, true)
    }

    fn count(&self, request: &str, finished: bool) -> u32 {
        let incarnation = self.incarnation();
        let runs = self.truth.runs(request);
        let own = runs.iter().filter(|run| run.server == incarnation);
        u32::try_from(own.filter(|run| run.finished || !finished).count()).unwrap()
    }

    /// Marks this incarnation as cold for a while.
    pub fn set_cold(&self, time: Duration) {
        self.lock().cold_until = Some(Instant::now() + time);
    }

    /// Returns the largest number of requests received within one second.
    pub fn busiest_second(&self) -> usize {
        let state = self.lock();
        let all = &state.arrivals;
        let in_second = |from: &Instant| {
            let later = all.iter().filter(|at| *at >= from);
            later.take_while(|at| **at < *from + SECOND).count()
        };
        all.iter().map(in_second).max().unwrap_or_default()
    }

    /// Returns the calling services named in requests.
    pub fn callers(&self) -> Vec<String> {
        self.lock().callers.clone()
    }

    /// Sets the fault in the handling of calls that grant keys.
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
            .chain(called.iter().map(|granted| &granted.range));
        held.map(|(first, last, _)| u32::from(*last) - u32::from(*first) + 1)
            .sum()
    }

    /// Returns how long after the acknowledgement of its drain the last request arrived.
    pub fn ran_after_drain(&self) -> Duration {
        let state = self.lock();
        match (state.last_run, state.acknowledged) {
            (Some(run), Some(acknowledged)) => run.saturating_duration_since(acknowledged),
            _ => Duration::ZERO,
        }
    }

    /// Returns whether its drain was acknowledged.
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

    /// Sends one heartbeat; returns whether keys are still to be released.
    async fn send_heartbeat(&self, http: &reqwest::Client) -> bool {
        let Some(heartbeat) = self.next_heartbeat() else {
            return false;
        };
        let sent = Instant::now();
        let call = http
            .put(heartbeat.url)
            .json(&heartbeat.body)
            .timeout(HEARTBEAT_TIMEOUT);
        let reply = call.send().await;
        if let Ok(reply) = reply
            && reply.status().is_success()
            && let Ok(reply) = reply.json::<Value>().await
            && self.incarnation() == heartbeat.incarnation
        {
            self.handle_reply(&heartbeat.incarnation, sent, &heartbeat.released, &reply);
        }
        !self.lock().releasing.is_empty()
    }

    fn next_heartbeat(&self) -> Option<PendingHeartbeat> {
        let incarnation = self.incarnation();
        let mut state = self.lock();
        if state.dead || state.silent {
            return None;
        }
        if state
            .held_until
            .is_some_and(|until| Instant::now() >= until)
        {
            // Ranges whose hold has expired are not reported as released.
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
            "freed": state.released,
        });
        let url = format!("http://{}/instances/{}", self.plan.control, state.id);
        Some(PendingHeartbeat {
            incarnation,
            url,
            body,
            released: state.released.clone(),
        })
    }

    fn handle_reply(
        &self,
        incarnation: &str,
        sent: Instant,
        reported: &[(u16, u16, String)],
        reply: &Value,
    ) {
        let mut state = self.lock();
        state
            .released
            .retain(|released| !reported.contains(released));
        if state.draining && state.acknowledged.is_none() {
            state.acknowledged = Some(Instant::now());
        }
        let granted =
            serde_json::from_value::<Vec<(u16, u16, u64, String)>>(reply["holds"].clone());
        let Ok(granted) = granted else {
            return;
        };
        let time = reply["hold_time"].as_str().unwrap();
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
        let released = held.iter().flat_map(|range| subtract_ranges(*range, &next));
        state.releasing = released.collect();
        state.holds.clone_from(&next);
        state.held_until = Some(until);
        state.finish_releases();
        let mut all = next;
        all.extend(&state.releasing);
        let all: Vec<(HeldRange, Instant)> = all.into_iter().map(|range| (range, until)).collect();
        self.truth.hold(incarnation, &all);
    }

    /// Refuses the request with this id when it first arrives.
    pub fn refuse_once(&self, id: &str) {
        self.lock().refused_once.insert(id.to_owned());
    }

    /// Sends some of its responses a second time from now on.
    pub fn copy_responses(&self, copied: CopiedResponses) {
        *self.lock().copied.lock().unwrap() = copied;
    }

    /// Sends the final call of a server that shuts down; returns whether it is acknowledged.
    pub async fn deregister(&self) -> bool {
        let (id, started_ms) = {
            let state = self.lock();
            (state.id.clone(), state.started_ms)
        };
        let url = format!("http://{}/instances/{id}", self.plan.control);
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let call = http.delete(url).json(&json!({ "born": started_ms }));
        // The node may not be running.
        let answer = call.timeout(HEARTBEAT_TIMEOUT).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Answers all requests with raw bytes from now on; its heartbeats go on.
    pub fn answer_raw(&self) -> Arc<RawRecord> {
        let record = Arc::new(RawRecord::default());
        let serving = serve_raw(self.plan.listen, Arc::clone(&record));
        self.replace_port(Some(tokio::spawn(serving).abort_handle()));
        record
    }

    /// Lets another task serve its port from now on; its heartbeats go on.
    pub fn serve_by<F>(&self, serving: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.replace_port(Some(tokio::spawn(serving).abort_handle()));
    }

    /// Returns where it listens.
    pub fn listen(&self) -> SocketAddr {
        self.plan.listen
    }

    /// Answers as usual again.
    pub fn answer_normally(&self) {
        self.open_port();
    }

    /// Returns where it sends heartbeats, and the address that they name.
    pub fn addresses(&self) -> (SocketAddr, String) {
        (self.plan.control, self.plan.advertised.to_string())
    }

    /// Reports `draining` in one last heartbeat, and returns whether it was acknowledged.
    pub async fn report_draining(&self) -> bool {
        let heartbeat = {
            let mut state = self.lock();
            state.draining = true;
            state.silent = false;
            drop(state);
            self.hold_heartbeat()
        };
        self.deliver(heartbeat).await
    }

    /// Writes a last heartbeat, which is held up on its way.
    pub fn hold_heartbeat(&self) -> PendingHeartbeat {
        let heartbeat = self.next_heartbeat().unwrap();
        self.lock().silent = true;
        heartbeat
    }

    /// Delivers a heartbeat that was held up.
    pub async fn deliver(&self, heartbeat: PendingHeartbeat) -> bool {
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let call = http.put(heartbeat.url).json(&heartbeat.body);
        let answer = call.timeout(HEARTBEAT_TIMEOUT).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Returns how many requests have arrived that it did not refuse as misdirected.
    pub fn arrived(&self) -> usize {
        self.lock().arrivals.len()
    }
}

/// Returns the parts of a range that none of the others covers.
pub(super) fn subtract_ranges(range: HeldRange, others: &[HeldRange]) -> Vec<HeldRange> {
    let (_, last, fence) = range;
    let mut others: Vec<&HeldRange> = others.iter().collect();
    others.sort_unstable();
    let mut parts = Vec::new();
    // A wider type, because the key after the last one does not fit into u16.
    let mut next = u32::from(range.0);
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

    /// Releases ranges on which no requests are running.
    fn finish_releases(&mut self) {
        let running = self.running.clone();
        let (busy, done): (Vec<HeldRange>, Vec<HeldRange>) = self
            .releasing
            .drain(..)
            .partition(|(first, last, _)| running.iter().any(|key| (first..=last).contains(&key)));
        self.releasing = busy;
        let sequence = self.sequence;
        let released = done.into_iter().map(|(first, last, _)| {
            let handover = format!("word-{sequence}-{first}");
            (first, last, handover)
        });
        self.released.extend(released);
    }

    fn holds(&self, key: u16) -> bool {
        if self.call_grants.holds(key) {
            return true;
        }
        let mut held = self.holds.iter();
        let valid = self.held_until.is_some_and(|until| Instant::now() < until);
        valid && held.any(|(first, last, _)| (*first..=*last).contains(&key))
    }
}

/// Marks a key as in use until dropped.
struct RunningKey {
    state: Arc<Mutex<ServerState>>,
    key: Option<u16>,
}

impl Drop for RunningKey {
    fn drop(&mut self) {
        if let (Some(key), Ok(mut state)) = (self.key, self.state.lock()) {
            let index = state.running.iter().position(|running| *running == key);
            index.map(|index| state.running.swap_remove(index));
        }
    }
}

async fn handle_request(
    State(server): State<StandInServer>,
    method: Method,
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
        if state.refused_once.remove(&id) {
            return (StatusCode::SERVICE_UNAVAILABLE, refused, "").into_response();
        }
        state.callers.push(text("x-caller-service"));
        let now = Instant::now();
        state.last_run = Some(now);
        state.arrivals.push(now);
        server.truth.notices.arrived(&incarnation, &id);
        state.running.extend(key);
        let running = RunningKey {
            state: Arc::clone(&server.state),
            key,
        };
        let (long, echo) = (state.response_bytes, state.echo);
        (
            state.service_time,
            state.drop_responses,
            long,
            echo,
            running,
        )
    };
    server.truth.begin(&id, &incarnation);
    let called = uri.query().and_then(|query| query.strip_prefix("calls="));
    if let Some(called) = called
        && !server.call(&id, called, key).await
    {
        server.truth.finish(&id, &incarnation);
        let stamped = server.response_headers(&incarnation, &id);
        return (StatusCode::INTERNAL_SERVER_ERROR, stamped, "").into_response();
    }
    let content = Content {
        method: method.to_string(),
        uri: uri.to_string(),
        key,
        body: body[..body.len().min(MAX_CONTENT_BYTES)].to_vec(),
    };
    if body.len() > MAX_CONTENT_BYTES {
        server.truth.record_long_body(&id, &body);
    }
    server.truth.contents.arrived(&content, &incarnation, &id);
    if content.ends_servers() {
        tokio::time::sleep(END_DELAY).await;
        if server.incarnation() == incarnation {
            server.end_under(&content);
        }
        // Ends with the connections of this incarnation.
        std::future::pending::<()>().await;
    }
    if echo {
        check_echoed(&server.truth, &id, &text("x-caller-service"), &body);
    }
    // If the caller disconnects, the request is cancelled here.
    tokio::time::sleep(service_time).await;
    server.truth.finish(&id, &incarnation);
    let stamped = server.response_headers(&incarnation, &id);
    let text = match (long, echo) {
        (0, false) => format!("done by {}", server.plan.id),
        (0, true) => echo_of(&id),
        (long, _) => "x".repeat(long),
    };
    if lose {
        // A body that ends before its announced length.
        let broken = futures::stream::iter([Ok("half"), Err(std::io::Error::other("cut"))]);
        return (stamped, Body::from_stream(broken)).into_response();
    }
    (stamped, text).into_response()
}

impl StandInServer {
    /// Returns the headers of the response to a request that was executed.
    fn response_headers(&self, incarnation: &str, id: &str) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let mut set = |name: &'static str, value: &str| {
            headers.insert(name, value.parse().unwrap());
        };
        set("x-server-stamp", &format!("stamp-of-{incarnation}"));
        set("x-request-id", id);
        let state = self.lock();
        if let Some(limit) = &state.limit {
            set("server-limit", limit);
        }
        if let Some(seconds) = state.idle_timeout {
            set("keep-alive", &format!("timeout={seconds}"));
        }
        if state.leaving {
            set("server-leaving", "1");
        }
        headers
    }
}

/// Checks a request of the soak's clients: its id ends in the service of the host that received it,
/// and its body, if not empty, is its id.
fn check_echoed(truth: &Truth, id: &str, caller: &str, body: &[u8]) {
    if !id.ends_with(&format!("-{caller}")) {
        truth.record_violation(format!("{id} came with {caller} as its origin"));
    }
    if !body.is_empty() && body != id.as_bytes() {
        truth.record_violation(format!("{id} came with another body"));
    }
}
