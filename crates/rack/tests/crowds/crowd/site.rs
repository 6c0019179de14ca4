//! A world whose processes are watched.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::MutexGuard;

use super::Crowd;
use crate::support::Limits;
use crate::support::World;
use crate::support::count_descriptors;

/// Host that clients use whose server is elsewhere.
pub const ENTRY: usize = 0;
/// Host beside whose server unsafe and plain requests run.
pub const SERVER: usize = 1;
/// Another host like the first.
pub const OTHER: usize = 2;

const START: Duration = Duration::from_secs(60);
/// Guard against a check that never ends; no crowd is held for as long.
const ANSWER_GUARD: Duration = Duration::from_secs(60);
/// Time that an ordinary client gives a single try.
const TRY_TIME: Duration = Duration::from_secs(5);
/// Size of the body of an ordinary request.
const BODY_BYTES: usize = 1_000;
const TRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two looks at the descriptors.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// How many of a machine's descriptors are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
const MB: u64 = 1_000_000;

/// Crowds play one at a time.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
/// Numbers the ordinary requests.
static NEXT_REQUEST: AtomicUsize = AtomicUsize::new(0);

/// Returns the limits of a small machine: those of the smallest that one legal body has to fit.
pub fn small_machine() -> Limits {
    Limits {
        memory_mb: 160,
        max_fds: 4_100,
        header_bytes: 16_384,
        body_bytes: 64_000_000,
        timeout_ms: 120_000,
    }
}

/// Returns the limits for crowds of bodies: little memory, and bodies in the proportion to it that
/// they have on a small machine.
pub fn little_memory() -> Limits {
    Limits {
        memory_mb: 96,
        body_bytes: 16_000_000,
        ..small_machine()
    }
}

/// Returns the limits for crowds of connections: half of the descriptors are reserved for files.
pub fn few_descriptors() -> Limits {
    Limits {
        max_fds: 400,
        ..little_memory()
    }
}

/// A world of three hosts, with a keyed server beside the first and the last, and a server for
/// plain and unsafe requests beside the second.
pub struct Site {
    pub world: World,
    pub limits: Limits,
    /// Whether ordinary requests with a key are sent too.
    pub asks_keyed: bool,
    asks_new_route: bool,
    watch: Watch,
    _turn: MutexGuard<'static, ()>,
}

/// Looks at the descriptors of processes until dropped.
struct Watch {
    /// The most descriptors of each process, and the most sockets and pipes.
    most: Arc<Mutex<Vec<(usize, usize)>>>,
    stopped: Arc<AtomicBool>,
}

impl Site {
    /// Waits for its turn and starts the hosts.
    pub async fn start(limits: Limits) -> Self {
        let turn = TURN.lock().await;
        let world = World::start_with_limits(&["keyed", "plain", "keyed"], limits).await;
        world.wait_until_served(START).await;
        let ids = world.hosts.iter().map(|host| host.process().id()).collect();
        Self {
            world,
            limits,
            asks_keyed: true,
            asks_new_route: false,
            watch: Watch::begin(ids),
            _turn: turn,
        }
    }

    /// Returns the address at which a host takes requests of clients.
    pub fn clients(&self, host: usize) -> SocketAddr {
        self.world.hosts[host].clients()
    }

    /// Checks that everything lives within its limits and that an ordinary caller of each host is
    /// answered.
    pub async fn check(&mut self, when: &str) {
        let faults = self.faults(when).await;
        assert!(faults.is_empty(), "{faults:#?}");
    }

    async fn faults(&mut self, when: &str) -> Vec<String> {
        let mut faults = self.unanswered().await;
        faults.extend(self.excesses());
        println!("{when}: {}; faults {faults:?}", self.figures());
        let faults = faults.into_iter();
        faults.map(|fault| format!("{when}: {fault}")).collect()
    }

    /// Checks beside a crowd as soon as no more of it is taken, and after it.
    pub async fn check_crowd(&mut self, crowd: Crowd) {
        let faults = self.crowd_faults(crowd).await;
        assert!(faults.is_empty(), "{faults:#?}");
    }

    /// Looks beside a crowd as soon as no more of it is taken, and after it; returns what is wrong.
    pub async fn crowd_faults(&mut self, crowd: Crowd) -> Vec<String> {
        crowd.settle().await;
        println!("crowd: {}", crowd.summary());
        let beside = self.faults("beside the crowd").await;
        println!("crowd: {}", crowd.summary());
        drop(crowd);
        let after = self.faults("after the crowd").await;
        [beside, after].concat()
    }

    /// Writes a new configuration; ordinary requests then use its new route too.
    pub fn add_route(&mut self) {
        self.world.write_config(2);
        self.asks_new_route = true;
    }

    /// Returns which ordinary requests aren't answered: those for the server beside the second host, with and
    /// without a body, and one with a key that a server beside another holds.
    async fn unanswered(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut requests = vec![
            (ENTRY, "GET /plain/1", None),
            (SERVER, "GET /plain/1", None),
            (OTHER, "GET /plain/1", None),
            (ENTRY, "POST /once/1", None),
            (SERVER, "POST /once/1", None),
        ];
        if self.asks_keyed {
            requests.push((SERVER, "GET /keyed/1", Some(9_000)));
        }
        if self.asks_new_route {
            requests.extend([ENTRY, SERVER].map(|host| (host, "GET /new/1", None)));
        }
        for (host, target, key) in requests {
            if let Err(last) = self.ask(host, target, key).await {
                faults.push(format!("host {host} doesn't answer {target}: {last}"));
                // The others would only take as long.
                break;
            }
        }
        faults
    }

    /// Asks like an ordinary client, each time on a new connection, until answered with success.
    async fn ask(&self, host: usize, target: &str, key: Option<u16>) -> Result<(), String> {
        let until = Instant::now() + ANSWER_GUARD;
        let mut tries = 0;
        loop {
            tries += 1;
            let attempt = tokio::time::timeout(TRY_TIME, self.ask_once(host, target, key)).await;
            let outcome = attempt.unwrap_or_else(|_| "no answer".to_owned());
            if outcome == "200" {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!("{outcome} in the last of {tries} tries"));
            }
            tokio::time::sleep(TRY_INTERVAL).await;
        }
    }

    async fn ask_once(&self, host: usize, target: &str, key: Option<u16>) -> String {
        let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        let key = key.map(|key| format!("X-Shard-Key: {key}\r\n"));
        let body = match target.starts_with("POST") {
            true => "b".repeat(BODY_BYTES),
            false => String::new(),
        };
        let length = match body.len() {
            0 => String::new(),
            length => format!("Content-Length: {length}\r\n"),
        };
        let request = format!(
            "{target} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ordinary-{number}\r\nX-Deadline-Ms: {}\r\n{}{length}\r\n{body}",
            TRY_TIME.as_millis(),
            key.unwrap_or_default()
        );
        let attempt = async {
            let mut stream = TcpStream::connect(self.clients(host)).await?;
            stream.write_all(request.as_bytes()).await?;
            let mut line = vec![0; 12];
            stream.read_exact(&mut line).await?;
            std::io::Result::Ok(String::from_utf8_lossy(&line[9..]).into_owned())
        };
        attempt.await.unwrap_or_else(|error| error.to_string())
    }

    /// Returns which processes have ended or gone beyond their limits.
    fn excesses(&mut self) -> Vec<String> {
        let mut faults = Vec::new();
        let Limits {
            memory_mb, max_fds, ..
        } = self.limits;
        let most = self.watch.most();
        for (index, host) in self.world.hosts.iter_mut().enumerate() {
            if host.has_ended() {
                faults.push(format!("the process of host {index} has ended"));
                continue;
            }
            let peak = host.process().peak_memory();
            if peak > memory_mb * MB {
                faults.push(format!("host {index}: peak of {} MB", peak / MB));
            }
            let (all, sockets) = most[index];
            if all > max_fds {
                faults.push(format!("host {index}: {all} descriptors"));
            }
            if sockets > max_fds.saturating_sub(FILE_DESCRIPTORS) {
                faults.push(format!("host {index}: {sockets} sockets and pipes"));
            }
        }
        faults
    }

    /// Describes peak memory and descriptors of each process.
    fn figures(&mut self) -> String {
        let most = self.watch.most();
        let hosts = self.world.hosts.iter_mut().zip(most);
        let figures = hosts.map(|(host, (all, sockets))| match host.has_ended() {
            true => "ended".to_owned(),
            false => {
                let peak = host.process().peak_memory() / MB;
                format!("{peak} MB, {all} descriptors, {sockets} sockets and pipes")
            }
        });
        figures.collect::<Vec<_>>().join("; ")
    }
}

impl Watch {
    fn begin(processes: Vec<u32>) -> Self {
        let most = Arc::new(Mutex::new(vec![(0, 0); processes.len()]));
        let stopped = Arc::<AtomicBool>::default();
        let (record, stop) = (Arc::clone(&most), Arc::clone(&stopped));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                for (index, process) in processes.iter().enumerate() {
                    let (all, sockets) = count_descriptors(*process);
                    let mut most = record.lock().unwrap();
                    most[index] = (most[index].0.max(all), most[index].1.max(sockets));
                }
                thread::sleep(LOOK_INTERVAL);
            }
        });
        Self { most, stopped }
    }

    fn most(&self) -> Vec<(usize, usize)> {
        self.most.lock().unwrap().clone()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
