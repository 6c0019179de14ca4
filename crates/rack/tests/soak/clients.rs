//! Clients that go on whatever happens, and check what they get.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::support::Truth;
use crate::support::echo_of;

/// How long a client waits.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How much longer an answer may take until it counts as missing; the machine is busy.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_500);
/// After this time without an answer a request has surely been read by the process.
const REQUEST_READ_TIME: Duration = Duration::from_millis(60);
/// The pause between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// Is a host as clients know it.
#[derive(Clone)]
pub struct HostEndpoint {
    pub service: String,
    pub address: SocketAddr,
    /// When something other than an orderly end last happened to the host or to its connections.
    pub disturbed: Arc<Mutex<Instant>>,
    /// Whether the host is gone for good.
    pub lost: Arc<AtomicBool>,
}

/// Says what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Keyed,
    Plain,
    Once,
}

/// Is what came of a request.
#[derive(Clone, Debug)]
struct Outcome {
    kind: Kind,
    status: Option<u16>,
}

/// Is a request without an answer, with times on the clock of the programs' lines.
#[derive(Clone, Debug)]
struct UnansweredRequest {
    id: String,
    place: usize,
    sent: SystemTime,
    /// What is to be said of it.
    what: String,
}

/// Is a time in which a host had no process.
pub type Downtime = (SystemTime, SystemTime);

/// Is a crowd of clients.
pub struct Clients {
    endpoints: Vec<HostEndpoint>,
    truth: Arc<Truth>,
    seed: u64,
    next: AtomicU64,
    over: AtomicBool,
    outcomes: Mutex<HashMap<String, Outcome>>,
    unanswered: Mutex<Vec<UnansweredRequest>>,
}

impl Clients {
    pub fn new(seed: u64, endpoints: Vec<HostEndpoint>, truth: Arc<Truth>) -> Arc<Self> {
        Arc::new(Self {
            endpoints,
            truth,
            seed,
            next: AtomicU64::new(0),
            over: AtomicBool::new(false),
            outcomes: Mutex::default(),
            unanswered: Mutex::default(),
        })
    }

    /// Sends requests until told to end, to one host after the other on connections that stay open.
    pub async fn run(self: Arc<Self>, number: u64) {
        let mut random = SmallRng::seed_from_u64(self.seed << 8 ^ number);
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        while !self.over.load(Ordering::Relaxed) {
            let place = random.random_range(0..self.endpoints.len());
            let kind = [Kind::Keyed, Kind::Plain, Kind::Once][random.random_range(0..3)];
            self.request(&http, place, kind, random.random()).await;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Ends the requests.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    /// Tells whether a keyed and a plain request are served at every host that is still there.
    pub async fn all_served(&self, keys: &[u16]) -> bool {
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let here = |place: &usize| !self.endpoints[*place].lost.load(Ordering::Relaxed);
        for place in (0..self.endpoints.len()).filter(here) {
            let asks = keys
                .iter()
                .map(|key| self.request(&http, place, Kind::Keyed, *key));
            let keyed = futures::future::join_all(asks).await;
            let plain = self.request(&http, place, Kind::Plain, 0).await;
            if keyed
                .into_iter()
                .chain([plain])
                .any(|status| status != Some(200))
            {
                return false;
            }
        }
        true
    }

    /// Returns how many requests were answered with success, and how many there were.
    pub fn served(&self) -> (usize, usize) {
        let outcomes = self.outcomes.lock().unwrap();
        let served = outcomes
            .values()
            .filter(|outcome| outcome.status == Some(200));
        (served.count(), outcomes.len())
    }

    async fn request(
        &self,
        http: &reqwest::Client,
        place: usize,
        kind: Kind,
        key: u16,
    ) -> Option<u16> {
        let endpoint = &self.endpoints[place];
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{number}-{}", self.seed, endpoint.service);
        let path = match kind {
            Kind::Keyed => "keyed",
            Kind::Plain => "plain",
            Kind::Once => "once",
        };
        let url = format!("http://{}/{path}/1", endpoint.address);
        let request = match kind {
            Kind::Once => http.post(url).body(id.clone()),
            Kind::Keyed => http.get(url).header("x-shard-key", key),
            Kind::Plain => http.get(url),
        };
        let patience = CLIENT_TIMEOUT.as_millis().to_string();
        let request = request
            .header("host", "shop.example")
            .header("x-request-id", &id)
            .header("x-deadline-ms", patience)
            .timeout(CLIENT_TIMEOUT + RESPONSE_GRACE);
        let sent = Instant::now();
        let status = match request.send().await {
            Ok(answer) => self.check_response(&id, answer).await,
            Err(error) => {
                self.record_unanswered(&id, place, sent, &error);
                None
            }
        };
        let mut outcomes = self.outcomes.lock().unwrap();
        outcomes.insert(id, Outcome { kind, status });
        status
    }

    async fn check_response(&self, id: &str, answer: reqwest::Response) -> Option<u16> {
        let status = answer.status().as_u16();
        let stamp = answer.headers().get("x-server-stamp").cloned();
        let named = answer.headers().get("x-request-id").cloned();
        // A body that breaks off is no answer, and looks like none.
        let body = answer.text().await.ok()?;
        if status == 200 {
            let stamp = stamp.and_then(|stamp| stamp.to_str().ok().map(str::to_owned));
            let runs = self.truth.runs(id);
            let ran = runs
                .iter()
                .any(|run| Some(format!("stamp-of-{}", run.server)) == stamp);
            if !ran || body != echo_of(id) || named.is_none_or(|named| named != id) {
                self.truth
                    .record_violation(format!("{id} got another's answer, {stamp:?}"));
            }
        }
        if status == 404 {
            self.truth
                .record_violation(format!("{id} was told that there is no such route"));
        }
        Some(status)
    }

    /// An orderly end of a process is no reason for a client to get no answer.
    fn record_unanswered(&self, id: &str, place: usize, sent: Instant, error: &reqwest::Error) {
        let endpoint = &self.endpoints[place];
        let calm_since = *endpoint.disturbed.lock().unwrap() + Duration::from_secs(4);
        let after = sent.elapsed();
        // Nobody is there to answer; a busy machine takes a while to say so.
        if endpoint.lost.load(Ordering::Relaxed) {
            return;
        }
        // Sooner it may have crossed the end of the process, or met its port without one.
        if after > REQUEST_READ_TIME && sent > calm_since {
            self.unanswered.lock().unwrap().push(UnansweredRequest {
                id: id.to_owned(),
                place,
                sent: SystemTime::now() - after,
                what: format!("{id} got no answer after {after:?}: {error:?}"),
            });
        }
    }

    /// Checks that each request without an answer was sent while its host had no process.
    pub fn check_unanswered_requests<A>(&self, downtimes: A)
    where
        A: Fn(usize) -> Vec<Downtime>,
    {
        for request in self.unanswered.lock().unwrap().iter() {
            let downtimes = downtimes(request.place);
            let met = |(from, to): &Downtime| request.sent >= *from && request.sent <= *to;
            if !downtimes.iter().any(met) {
                let UnansweredRequest { id, place, .. } = request;
                println!("{id} was sent to host {place} at {:?}", request.sent);
                self.truth.record_violation(request.what.clone());
            }
        }
    }

    /// Checks what must hold of all requests together, once nothing runs any more.
    pub fn check_all(&self) {
        for (id, outcome) in self.outcomes.lock().unwrap().iter() {
            let runs = self.truth.runs(id);
            if outcome.kind == Kind::Once && runs.len() > 1 {
                self.truth
                    .record_violation(format!("{id} ran more than once: {runs:?}"));
            }
            let promised = matches!(outcome.status, Some(408 | 421 | 429 | 503));
            if promised && !runs.is_empty() {
                let status = outcome.status;
                self.truth
                    .record_violation(format!("{id} was told {status:?}, and ran: {runs:?}"));
            }
        }
    }
}
