//! Clients that ask for contents under which servers end.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clients::HostEndpoint;

/// Timeout of a request.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time from the start of the faults until a content is first asked for.
const MAX_START: Duration = Duration::from_millis(9_000);
/// How often a content is asked for, each time with ids of its own.
const ATTEMPTS: usize = 24;
/// Longest pause between two attempts.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// How many copies are sent at once at most.
const MAX_COPIES: usize = 4;

/// How a content is asked for.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Plain,
    Keyed(u16),
    Once,
    /// By a server of the other service that works on a request.
    Called(u16),
}

/// Sends requests of some contents, drawn by the seed.
pub struct PoisonClients {
    endpoints: Vec<HostEndpoint>,
    seed: u64,
    stopped: AtomicBool,
}

impl PoisonClients {
    pub fn new(seed: u64, endpoints: Vec<HostEndpoint>) -> Arc<Self> {
        Arc::new(Self {
            endpoints,
            seed,
            stopped: AtomicBool::new(false),
        })
    }

    /// Stops sending requests.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Asks for one content at random hosts, again and again; returns how often each status came.
    pub async fn run(self: Arc<Self>, number: u64) -> HashMap<Option<u16>, usize> {
        let mut random = SmallRng::seed_from_u64(self.seed << 16 ^ number);
        let kind = match random.random_range(0..4) {
            0 => Kind::Plain,
            1 => Kind::Keyed(random.random()),
            2 => Kind::Once,
            _ => Kind::Called(random.random()),
        };
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        tokio::time::sleep(MAX_START.mul_f64(random.random())).await;
        let mut statuses = HashMap::new();
        for attempt in 0..ATTEMPTS {
            if self.stopped.load(Ordering::Relaxed) {
                break;
            }
            let copies = match random.random_bool(0.2) {
                true => random.random_range(2..=MAX_COPIES),
                false => 1,
            };
            let asked = (0..copies).map(|copy| {
                let index = random.random_range(0..self.endpoints.len());
                let id = format!("{}-ends-servers-{number}-{attempt}-{copy}", self.seed);
                self.request(&http, index, id, number, kind)
            });
            let asked: Vec<_> = asked.collect();
            for status in futures::future::join_all(asked).await {
                *statuses.entry(status).or_default() += 1;
            }
            tokio::time::sleep(MAX_PAUSE.mul_f64(random.random())).await;
        }
        statuses
    }

    async fn request(
        &self,
        http: &reqwest::Client,
        index: usize,
        id: String,
        number: u64,
        kind: Kind,
    ) -> Option<u16> {
        let endpoint = &self.endpoints[index];
        let url = |path: &str| format!("http://{}{path}", endpoint.address);
        let content = format!("ends-servers-{}-{number}", self.seed);
        let request = match kind {
            Kind::Plain => http.get(url(&format!("/plain/{content}"))),
            Kind::Keyed(key) => http
                .get(url(&format!("/keyed/{content}")))
                .header("x-shard-key", key),
            Kind::Once => http.post(url("/once/1")).body(content),
            Kind::Called(key) => http
                .get(url(&format!("/plain/1?calls=/keyed/{content}")))
                .header("x-shard-key", key),
        };
        let request = request
            .header("host", "shop.example")
            .header("x-request-id", id)
            .header("x-deadline-ms", CLIENT_TIMEOUT.as_millis().to_string())
            .timeout(CLIENT_TIMEOUT);
        let response = request.send().await.ok()?;
        Some(response.status().as_u16())
    }
}
