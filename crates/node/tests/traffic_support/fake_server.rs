//! A backend server with configurable faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::Response;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use uuid::Uuid;

/// One request that the fake server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub path: String,
    pub attempt: String,
    pub key: Option<String>,
    pub body: usize,
}

#[derive(Default)]
struct FakeState {
    runs: Mutex<Vec<Run>>,
    cancelled: Mutex<Vec<String>>,
    sender_ports: Mutex<std::collections::BTreeSet<u16>>,
    running: AtomicUsize,
    peak: AtomicUsize,
    work_us: AtomicU64,
    frozen: AtomicBool,
    cold_bound: AtomicUsize,
    shed: AtomicBool,
    fail: AtomicBool,
    misroute: AtomicUsize,
    drop_body: AtomicUsize,
    truncate: AtomicUsize,
    shed_count: AtomicUsize,
    raw: Mutex<Option<RawAnswer>>,
    raw_set: tokio::sync::Notify,
    raw_count: AtomicUsize,
}

/// Bytes in place of an answer.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    pub start: String,
    /// Written again and again after `start` until the node closes; the connection is closed if there is none.
    pub repeated: String,
}

/// A backend server on loopback.
pub struct FakeServer {
    pub address: SocketAddr,
    state: Arc<FakeState>,
}

impl FakeServer {
    pub async fn start(work: Duration) -> Self {
        let state = Arc::new(FakeState::default());
        state.cold_bound.store(usize::MAX, Ordering::SeqCst);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let inner = listener.local_addr().unwrap();
        let front = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = front.local_addr().unwrap();
        tokio::spawn(accept(front, inner, Arc::clone(&state)));
        let router = Router::new()
            .fallback(handle)
            .with_state(Arc::clone(&state))
            .into_make_service_with_connect_info::<SocketAddr>();
        tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
        let server = Self { address, state };
        server.set_work(work);
        server
    }

    /// Closes all connections, and answers the first request on each new one with raw bytes.
    pub fn answer_raw(&self, answer: Option<RawAnswer>) {
        *self.state.raw.lock().unwrap() = answer;
        self.state.raw_set.notify_waiters();
    }

    /// Returns how many requests, the node's own aside, were answered with raw bytes.
    pub fn raw_count(&self) -> usize {
        self.state.raw_count.load(Ordering::SeqCst)
    }

    pub fn set_work(&self, work: Duration) {
        self.state
            .work_us
            .store(work.as_micros() as u64, Ordering::SeqCst);
    }
    pub fn set_frozen(&self, frozen: bool) {
        self.state.frozen.store(frozen, Ordering::SeqCst);
    }
    /// Sets the concurrency above which the server is ten times slower; above three times as many
    /// concurrent requests it sheds.
    pub fn set_cold_bound(&self, bound: usize) {
        self.state.cold_bound.store(bound, Ordering::SeqCst);
    }
    pub fn set_shed(&self, shed: bool) {
        self.state.shed.store(shed, Ordering::SeqCst);
    }
    pub fn set_fail(&self, fail: bool) {
        self.state.fail.store(fail, Ordering::SeqCst);
    }
    pub fn misroute_next(&self, count: usize) {
        self.state.misroute.store(count, Ordering::SeqCst);
    }
    pub fn drop_body_next(&self, count: usize) {
        self.state.drop_body.store(count, Ordering::SeqCst);
    }
    pub fn truncate_next(&self, count: usize) {
        self.state.truncate.store(count, Ordering::SeqCst);
    }
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap().clone()
    }
    pub fn cancelled(&self) -> Vec<String> {
        self.state.cancelled.lock().unwrap().clone()
    }
    pub fn running(&self) -> usize {
        self.state.running.load(Ordering::SeqCst)
    }
    pub fn connections(&self) -> usize {
        self.state.sender_ports.lock().unwrap().len()
    }
    pub fn shed_count(&self) -> usize {
        self.state.shed_count.load(Ordering::SeqCst)
    }
    /// Returns the highest number of concurrent requests since the last call.
    pub fn take_peak(&self) -> usize {
        self.state.peak.swap(self.running(), Ordering::SeqCst)
    }
}

struct RunningGuard(Arc<FakeState>);

impl RunningGuard {
    fn begin(state: &Arc<FakeState>) -> (Self, usize) {
        let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
        state.peak.fetch_max(running, Ordering::SeqCst);
        (Self(Arc::clone(state)), running)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn wait_until_thawed(state: &FakeState) {
    while state.frozen.load(Ordering::SeqCst) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn decrement(count: &AtomicUsize) -> bool {
    count
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            left.checked_sub(1)
        })
        .is_ok()
}

async fn handle(State(state): State<Arc<FakeState>>, request: Request) -> Response<Body> {
    let path = request.uri().path().to_owned();
    // The work continues when the connection is cut, as in a server that doesn't notice it.
    tokio::spawn(async move { work(state, path, request).await })
        .await
        .unwrap()
}

async fn work(state: Arc<FakeState>, path: String, request: Request) -> Response<Body> {
    wait_until_thawed(&state).await;
    if let Some(attempt) = path.strip_prefix("/control/cancellations/") {
        state.cancelled.lock().unwrap().push(attempt.to_owned());
        return Response::builder().status(202).body(Body::empty()).unwrap();
    }
    if path == "/control/health" {
        return Response::new(Body::from("{}"));
    }
    let (parts, body) = request.into_parts();
    if let Some(axum::extract::ConnectInfo(sender)) = parts
        .extensions
        .get::<axum::extract::ConnectInfo<SocketAddr>>()
    {
        state.sender_ports.lock().unwrap().insert(sender.port());
    }
    let text = |name: &str| {
        let value = parts.headers.get(name)?;
        Some(value.to_str().unwrap().to_owned())
    };
    let attempt = text("quetzalrack-attempt").unwrap_or_default();
    let refuse = |state: &FakeState| {
        state.shed_count.fetch_add(1, Ordering::SeqCst);
        Response::builder()
            .status(503)
            .header("quetzalrack-attempt", &attempt)
            .header("quetzalrack-not-run", "true")
            .body(Body::empty())
            .unwrap()
    };
    let Some(length) = body_length(body).await else {
        return refuse(&state);
    };
    let bound = state.cold_bound.load(Ordering::SeqCst);
    let (running, concurrency) = RunningGuard::begin(&state);
    if state.shed.load(Ordering::SeqCst) || concurrency > bound.saturating_mul(3) {
        return refuse(&state);
    }
    state.runs.lock().unwrap().push(Run {
        path: path.clone(),
        attempt: attempt.clone(),
        key: text("idempotency-key"),
        body: length,
    });
    let slowness = if concurrency > bound { 10 } else { 1 };
    let span = Duration::from_micros(state.work_us.load(Ordering::SeqCst)) * slowness;
    tokio::time::sleep(span).await;
    drop(running);
    wait_until_thawed(&state).await;
    finish(&state, &path, parts.uri.query(), attempt).await
}

async fn body_length(body: Body) -> Option<usize> {
    let mut length = 0;
    let mut pieces = body.into_data_stream();
    while let Some(piece) = pieces.next().await {
        length += piece.ok()?.len();
    }
    Some(length)
}

async fn finish(
    state: &FakeState,
    path: &str,
    query: Option<&str>,
    attempt: String,
) -> Response<Body> {
    let mut attempt = attempt;
    if decrement(&state.misroute) {
        attempt = Uuid::new_v4().to_string();
    }
    let mut response = Response::new(Body::from(format!("answer to {path}")));
    if state.fail.load(Ordering::SeqCst) {
        *response.status_mut() = axum::http::StatusCode::INTERNAL_SERVER_ERROR;
    }
    let bytes = query.and_then(|query| query.strip_prefix("bytes="));
    if let Some(bytes) = bytes.and_then(|bytes| bytes.parse::<usize>().ok()) {
        *response.body_mut() = long_body(bytes, usize::MAX);
        response
            .headers_mut()
            .insert("content-length", HeaderValue::from(bytes));
    }
    if decrement(&state.truncate) {
        let length = bytes.and_then(|bytes| bytes.parse().ok()).unwrap_or(100);
        *response.body_mut() = long_body(length, length / 2);
        response
            .headers_mut()
            .insert("content-length", HeaderValue::from(length));
    }
    if decrement(&state.drop_body) {
        *response.body_mut() = long_body(100, 0);
        response
            .headers_mut()
            .insert("content-length", HeaderValue::from(100));
    }
    response.headers_mut().insert(
        "quetzalrack-attempt",
        HeaderValue::from_str(&attempt).unwrap(),
    );
    response
}

/// Returns a body of `bytes` bytes that fails after `cut` bytes.
fn long_body(bytes: usize, cut: usize) -> Body {
    const PIECE: usize = 16 * 1024;
    let piece = Bytes::from(vec![b'x'; PIECE]);
    Body::from_stream(stream::unfold(0_usize, move |sent| {
        let piece = piece.clone();
        async move {
            if sent >= bytes {
                return None;
            }
            if sent >= cut {
                return Some((Err(std::io::Error::other("cut")), bytes));
            }
            let size = PIECE.min(bytes - sent).min(cut - sent);
            Some((Ok(piece.slice(..size)), sent + size))
        }
    }))
}

/// Bytes after which the server stops, though its answer has no end.
const MAX_RAW_BYTES: usize = 200_000_000;

/// Passes connections on to the server, or answers them with raw bytes.
async fn accept(front: TcpListener, inner: SocketAddr, state: Arc<FakeState>) {
    while let Ok((mut stream, _)) = front.accept().await {
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let mut raw_set = std::pin::pin!(state.raw_set.notified());
            // From here on no change is missed, so that no connection is passed on after one.
            raw_set.as_mut().enable();
            let raw = state.raw.lock().unwrap().clone();
            match raw {
                Some(raw) => answer_with(&state, stream, raw).await,
                None => {
                    let Ok(mut server) = TcpStream::connect(inner).await else {
                        return;
                    };
                    tokio::select! {
                        () = raw_set => {}
                        _ = tokio::io::copy_bidirectional(&mut stream, &mut server) => {}
                    }
                }
            }
        });
    }
}

async fn answer_with(state: &FakeState, mut stream: TcpStream, raw: RawAnswer) {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        if !matches!(stream.read_buf(&mut head).await, Ok(1..)) {
            return;
        }
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    if !head.contains(" /control/") {
        state.raw_count.fetch_add(1, Ordering::SeqCst);
    }
    let attempt = head
        .lines()
        .find_map(|line| line.strip_prefix("quetzalrack-attempt: "));
    let start = raw.start.replace("ATTEMPT", attempt.unwrap_or_default());
    if stream.write_all(start.as_bytes()).await.is_err() || raw.repeated.is_empty() {
        return;
    }
    let block = raw.repeated.repeat(65_536 / raw.repeated.len() + 1);
    let mut written = 0;
    while written < MAX_RAW_BYTES && stream.write_all(block.as_bytes()).await.is_ok() {
        written += block.len();
    }
}
