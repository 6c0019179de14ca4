//! Clients that send requests throughout the faults and check the responses.

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

/// Timeout of a request.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long after its timeout a response counts as missing, since the machine may be busy.
const RESPONSE_GRACE: Duration = Duration::from_millis(1_500);
/// A request that is unanswered for this long has certainly been read by the process.
const REQUEST_READ_TIME: Duration = Duration::from_millis(60);
/// Pause between two requests of one client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// A host as its clients see it.
#[derive(Clone)]
pub struct HostEndpoint {
    pub service: String,
    pub address: SocketAddr,
    /// When a fault other than a graceful shutdown last affected the host or its connections.
    pub disturbed: Arc<Mutex<Instant>>,
    /// Whether the host was removed permanently.
    pub removed: Arc<AtomicBool>,
}

/// Route of a request; only requests of `Once` must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Keyed,
    Plain,
    Once,
}

#[derive(Clone, Debug)]
struct Outcome {
    kind: Kind,
    status: Option<u16>,
}

/// A request without a response, with times on the clock of the log lines.
#[derive(Clone, Debug)]
struct UnansweredRequest {
    id: String,
    index: usize,
    sent: SystemTime,
    /// Message for the violation.
    message: String,
}

/// Period in which a host had no process.
pub type Downtime = (SystemTime, SystemTime);

/// A group of clients.
pub struct Clients {
    endpoints: Vec<HostEndpoint>,
    truth: Arc<Truth>,
    seed: u64,
    next: AtomicU64,
    stopped: AtomicBool,
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
            stopped: AtomicBool::new(false),
            outcomes: Mutex::default(),
            unanswered: Mutex::default(),
        })
    }

    /// Sends requests until stopped, to random hosts on connections that stay open.
    pub async fn run(self: Arc<Self>, number: u64) {
        let mut random = SmallRng::seed_from_u64(self.seed << 8 ^ number);
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        while !self.stopped.load(Ordering::Relaxed) {
            let index = random.random_range(0..self.endpoints.len());
            let kind = [Kind::Keyed, Kind::Plain, Kind::Once][random.random_range(0..3)];
            self.request(&http, index, kind, random.random()).await;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Sends one request after the other to one host until stopped, without a pause, on a connection that stays open
    /// and so is in use until the process is gone.
    pub async fn run_at(self: Arc<Self>, index: usize) {
        let mut random = SmallRng::seed_from_u64(self.seed << 8 ^ !(index as u64));
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        while !self.stopped.load(Ordering::Relaxed) {
            let kind = [Kind::Keyed, Kind::Plain, Kind::Once][random.random_range(0..3)];
            let status = self.request(&http, index, kind, random.random()).await;
            // A closed port or a refusal is not asked again at once.
            if status != Some(200) {
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        }
    }

    /// Stops sending requests.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether keyed and plain requests are served at every remaining host.
    pub async fn all_served(&self, keys: &[u16]) -> bool {
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let present = |index: &usize| !self.endpoints[*index].removed.load(Ordering::Relaxed);
        for index in (0..self.endpoints.len()).filter(present) {
            let requests = keys
                .iter()
                .map(|key| self.request(&http, index, Kind::Keyed, *key));
            let keyed = futures::future::join_all(requests).await;
            let plain = self.request(&http, index, Kind::Plain, 0).await;
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

    /// Returns the number of successful requests and of all requests.
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
        index: usize,
        kind: Kind,
        key: u16,
    ) -> Option<u16> {
        let endpoint = &self.endpoints[index];
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
        let timeout = CLIENT_TIMEOUT.as_millis().to_string();
        let request = request
            .header("host", "shop.example")
            .header("x-request-id", &id)
            .header("x-deadline-ms", timeout)
            .timeout(CLIENT_TIMEOUT + RESPONSE_GRACE);
        let sent = Instant::now();
        self.truth.notices.sent(&id, index);
        let status = match request.send().await {
            Ok(response) => {
                self.truth.notices.passed_on(index, response.headers());
                self.check_response(&id, response).await
            }
            Err(error) => {
                self.record_unanswered(&id, index, sent, &error);
                None
            }
        };
        let mut outcomes = self.outcomes.lock().unwrap();
        outcomes.insert(id, Outcome { kind, status });
        status
    }

    async fn check_response(&self, id: &str, response: reqwest::Response) -> Option<u16> {
        let status = response.status().as_u16();
        let stamp = response.headers().get("x-server-stamp").cloned();
        let echoed_id = response.headers().get("x-request-id").cloned();
        // A truncated body counts as no response.
        let body = response.text().await.ok()?;
        if status == 200 {
            let stamp = stamp.and_then(|stamp| stamp.to_str().ok().map(str::to_owned));
            let runs = self.truth.runs(id);
            let ran = runs
                .iter()
                .any(|run| Some(format!("stamp-of-{}", run.server)) == stamp);
            if !ran || body != echo_of(id) || echoed_id.is_none_or(|echoed_id| echoed_id != id) {
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

    /// Records a missing response unless a fault explains it. A graceful shutdown is not such a
    /// fault.
    fn record_unanswered(&self, id: &str, index: usize, sent: Instant, error: &reqwest::Error) {
        let endpoint = &self.endpoints[index];
        let undisturbed_since = *endpoint.disturbed.lock().unwrap() + Duration::from_secs(4);
        let after = sent.elapsed();
        // A removed host cannot respond, and a busy machine reports it late.
        if endpoint.removed.load(Ordering::Relaxed) {
            return;
        }
        // An earlier failure may have crossed the exit of the process or reached its closed port.
        if after > REQUEST_READ_TIME && sent > undisturbed_since {
            self.unanswered.lock().unwrap().push(UnansweredRequest {
                id: id.to_owned(),
                index,
                sent: SystemTime::now() - after,
                message: format!("{id} got no answer after {after:?}: {error:?}"),
            });
        }
    }

    /// Checks that each request without a response was sent while its host had no process.
    pub fn check_unanswered_requests<A>(&self, downtimes: A)
    where
        A: Fn(usize) -> Vec<Downtime>,
    {
        for request in self.unanswered.lock().unwrap().iter() {
            let downtimes = downtimes(request.index);
            let during = |(from, to): &Downtime| request.sent >= *from && request.sent <= *to;
            if !downtimes.iter().any(during) {
                let UnansweredRequest { id, index, .. } = request;
                println!("{id} was sent to host {index} at {:?}", request.sent);
                self.truth.record_violation(request.message.clone());
            }
        }
    }

    /// Checks the guarantees over all requests once none is running any more.
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
