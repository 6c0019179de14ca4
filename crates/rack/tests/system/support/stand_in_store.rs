//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::middleware::from_fn_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;
use tokio::net::TcpListener;

/// Maximum number of the newest records in one page.
const PAGE_RECORDS: usize = 2;
/// Delay of a lost reply: longer than any caller's timeout.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(10);

/// Stores the records of topics and serves them on endpoints that can fail separately.
#[derive(Clone, Default)]
pub struct StandInStore {
    state: Arc<Mutex<Topics>>,
}

/// An address of the store, which may fail while the store's other addresses serve.
#[derive(Clone, Default)]
pub struct StoreEndpoint {
    fault: Arc<Mutex<Option<EndpointFault>>>,
    /// Number of times the endpoint became silent; requests received before are not answered.
    silences: Arc<AtomicU32>,
}

/// Fault of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointFault {
    /// Replies with 503.
    Busy,
    /// Replies with 429.
    TooMany,
    /// Never replies.
    Silent,
}

#[derive(Default)]
struct Topics {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    /// Number of the oldest records of each topic that have expired; the newest of each key stays.
    expired: HashMap<String, usize>,
    faults: StoreFaults,
    /// Record to write once the first page of the newest records has been read.
    between_pages: Option<(String, String)>,
    /// Counts appends; faults affect every second one.
    appends: u32,
}

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFaults {
    /// Refuses every call.
    pub unavailable: bool,
    /// Delays every append and every read of the newest records by this much.
    pub slow: Duration,
    /// Applies every second append without confirming it.
    pub drops_replies: bool,
    /// Applies every second append after this delay without confirming it.
    pub late: Option<Duration>,
}

type Fields = Query<HashMap<String, String>>;

impl StandInStore {
    /// Listens on a free port of `ip`.
    pub async fn bind(ip: &str) -> (Self, SocketAddr) {
        let store = Self::default();
        let (_, address) = store.open_endpoint(ip).await;
        (store, address)
    }

    /// Opens an endpoint on a free port of `ip`.
    pub async fn open_endpoint(&self, ip: &str) -> (StoreEndpoint, SocketAddr) {
        let endpoint = StoreEndpoint::default();
        let router = Router::new()
            .route("/log-newest", get(newest))
            .route("/log-read", get(read))
            .route("/log-append", post(append))
            .layer(from_fn_with_state(endpoint.clone(), apply_fault))
            .with_state(self.clone());
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move { axum::serve(listener, router).await });
        (endpoint, address)
    }

    /// Expires all records but the newest of each key, so that reads from earlier offsets fail.
    pub fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let ends = state.topics.iter();
        let ends: HashMap<String, usize> = ends
            .map(|(topic, records)| (topic.clone(), records.len()))
            .collect();
        state.expired = ends;
    }

    /// Writes a record as an operator.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry("keyed.op".to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
    }

    /// Writes a record as an operator once the first of several pages of the newest records has
    /// been read.
    pub fn write_between_pages(&self, key: &str, value: &str) {
        let record = (key.to_owned(), value.to_owned());
        self.state.lock().unwrap().between_pages = Some(record);
    }

    /// Sets whether every call is refused.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.set_faults(StoreFaults {
            unavailable,
            ..StoreFaults::default()
        });
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.lock().unwrap().faults = faults;
    }

    fn take_between_pages(&self) -> Option<(String, String)> {
        self.state.lock().unwrap().between_pages.take()
    }

    async fn delay(&self) {
        let slow = self.state.lock().unwrap().faults.slow;
        tokio::time::sleep(slow).await;
    }

    fn first(&self, fields: &Fields) -> usize {
        let state = self.state.lock().unwrap();
        state
            .expired
            .get(&fields["topic"])
            .copied()
            .unwrap_or_default()
    }

    fn records(&self, fields: &Fields) -> Option<Vec<(String, Vec<u8>)>> {
        let state = self.state.lock().unwrap();
        if state.faults.unavailable {
            return None;
        }
        Some(
            state
                .topics
                .get(&fields["topic"])
                .cloned()
                .unwrap_or_default(),
        )
    }
}

impl StoreEndpoint {
    /// Sets or clears the fault of this endpoint.
    pub fn set_fault(&self, fault: Option<EndpointFault>) {
        if fault == Some(EndpointFault::Silent) {
            self.silences.fetch_add(1, Ordering::Relaxed);
        }
        *self.fault.lock().unwrap() = fault;
    }
}

async fn apply_fault(
    State(endpoint): State<StoreEndpoint>,
    request: Request,
    next: Next,
) -> Response {
    let fault = *endpoint.fault.lock().unwrap();
    let silences = endpoint.silences.load(Ordering::Relaxed);
    match fault {
        Some(EndpointFault::Busy) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Some(EndpointFault::TooMany) => StatusCode::TOO_MANY_REQUESTS.into_response(),
        Some(EndpointFault::Silent) => lost_reply().await,
        None => {
            let reply = next.run(request).await;
            match silences == endpoint.silences.load(Ordering::Relaxed) {
                true => reply,
                false => lost_reply().await,
            }
        }
    }
}

/// Replies after all callers have timed out.
async fn lost_reply() -> Response {
    tokio::time::sleep(LOST_REPLY_DELAY).await;
    StatusCode::SERVICE_UNAVAILABLE.into_response()
}

async fn newest(State(store): State<StandInStore>, fields: Fields) -> Response {
    store.delay().await;
    let Some(records) = store.records(&fields) else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let mut newest: BTreeMap<&str, &[u8]> = BTreeMap::new();
    for (key, value) in &records {
        newest.insert(key, value);
    }
    let after = fields.get("after").map(String::as_str);
    let left = newest.iter().filter(|(key, value)| {
        let earlier = after.is_some_and(|after| **key <= after);
        !value.is_empty() && !earlier
    });
    let mut items: Vec<_> = left
        .map(|(key, value)| json!({"key": key, "value": STANDARD.encode(value), "offset": 0}))
        .collect();
    let more = items.len() > PAGE_RECORDS;
    items.truncate(PAGE_RECORDS);
    if more && let Some((key, value)) = store.take_between_pages() {
        store.write(&key, &value);
    }
    Json(json!({"items": items, "more": more, "end": records.len()})).into_response()
}

async fn read(State(store): State<StandInStore>, fields: Fields) -> Response {
    let from: usize = fields["from"].parse().unwrap();
    let wait: u64 = fields["wait_ms"].parse().unwrap();
    for _ in 0..=wait / 20 {
        let Some(records) = store.records(&fields) else {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        };
        let first = store.first(&fields);
        if from < first {
            return (StatusCode::GONE, Json(json!({"first": first}))).into_response();
        }
        if records.len() > from {
            return frames(&records, from).into_response();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    frames(&vec![(String::new(), Vec::new()); from], from).into_response()
}

fn frames(records: &[(String, Vec<u8>)], from: usize) -> Vec<u8> {
    let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
    bytes.extend(0_u64.to_be_bytes());
    for (key, value) in &records[from..] {
        let length = u32::try_from(1 + key.len() + value.len()).unwrap();
        bytes.extend(length.to_be_bytes());
        bytes.push(u8::try_from(key.len()).unwrap());
        bytes.extend(key.as_bytes());
        bytes.extend(value);
    }
    bytes
}

async fn append(State(store): State<StandInStore>, fields: Fields, body: Bytes) -> Response {
    store.delay().await;
    let (faults, odd) = {
        let mut state = store.state.lock().unwrap();
        state.appends += 1;
        (state.faults, state.appends % 2 == 1)
    };
    if faults.unavailable {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if let Some(late) = faults.late.filter(|_| odd) {
        tokio::time::sleep(late).await;
    }
    let reply = store.append(&fields, &body);
    if odd && (faults.drops_replies || faults.late.is_some()) {
        tokio::time::sleep(LOST_REPLY_DELAY).await;
    }
    reply
}

impl StandInStore {
    fn append(&self, fields: &Fields, body: &[u8]) -> Response {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry(fields["topic"].clone()).or_default();
        let end = records.len();
        if fields
            .get("as_of")
            .is_some_and(|wanted| *wanted != end.to_string())
        {
            let end = Json(json!({"end": end}));
            return (StatusCode::PRECONDITION_FAILED, end).into_response();
        }
        let key = usize::from(body[4]);
        let text = String::from_utf8(body[5..5 + key].to_vec()).unwrap();
        records.push((text, body[5 + key..].to_vec()));
        Json(json!({"offset": end, "end": end + 1})).into_response()
    }
}
