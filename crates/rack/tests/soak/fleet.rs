//! Hosts whose every connection goes through a proxy.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use quetzalrack_testutils::proxy::DatagramFaults;
use quetzalrack_testutils::proxy::DatagramProxy;
use quetzalrack_testutils::proxy::DirectionFaults;
use quetzalrack_testutils::proxy::StreamFaults;
use quetzalrack_testutils::proxy::StreamProxy;
use rustix::process::Signal;
use tempfile::TempDir;

use crate::clients::Clients;
use crate::clients::HostEndpoint;
use crate::script;
use crate::script::Fault;
use crate::script::Link;
use crate::script::LinkFault;
use crate::script::StoreFaultKind;
use crate::support::Lines;
use crate::support::NodeProcess;
use crate::support::ServerPlan;
use crate::support::StandInServer;
use crate::support::StandInStore;
use crate::support::StoreFaults;
use crate::support::Truth;
use crate::support::config;
use crate::support::settings;

/// How many clients there are.
const CLIENT_COUNT: u64 = 24;
/// The work of a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// How long a fleet may take to start, and to serve everything again after the last fault: founding
/// a leadership anew when the recorded majority is gone takes 20 s at most.
const SERVED_TIMEOUT: Duration = Duration::from_secs(25);
/// How long nothing more may reach a server that has left or whose zone is emptied.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// How long a process may take to end that is told to leave: the grace time of its settings, and a
/// moment for the busy machine.
const EXIT_TIMEOUT: Duration = Duration::from_millis(7_500);
/// Keys that are asked for to know whether all are served.
const SAMPLE_KEYS: [u16; 8] = [0, 9_000, 18_000, 27_000, 36_000, 45_000, 54_000, 65_535];

/// Is one host.
pub(super) struct Host {
    server: StandInServer,
    settings: PathBuf,
    arguments: Vec<String>,
    pub(super) lines: Lines,
    process: Option<NodeProcess>,
    streams: Vec<(Link, StreamProxy)>,
    datagrams: DatagramProxy,
    disturbed: Arc<Mutex<Instant>>,
    lost: Arc<AtomicBool>,
}

/// Is a fleet under test.
pub struct Fleet {
    pub(super) seed: u64,
    store: StandInStore,
    truth: Arc<Truth>,
    pub(super) hosts: Vec<Host>,
    endpoints: Vec<HostEndpoint>,
    version: u64,
    incarnations: u32,
    _folder: TempDir,
}

/// Is something that is to be undone or looked at later.
enum Recovery {
    Start(usize),
    Continue(usize),
    /// The process that is to end, and since when it was told.
    StartOnceEnded(usize, u32, Instant),
    Reborn(usize),
    Replace(usize, String),
    Answers(usize),
    Fast(usize),
    Heal(usize, Link),
    StoreHeals,
    Return(usize),
}

impl Fleet {
    /// Starts a fleet and waits until everything is served.
    pub async fn start(seed: u64, hosts: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let net = format!("127.{}.{}", 1 + std::process::id() % 250, 100 + seed % 100);
        let (store, store_address) = StandInStore::bind(&format!("{net}.250")).await;
        store.write("config", &config(1, 1_000));
        let mut fleet = Self {
            seed,
            store,
            truth: Arc::default(),
            hosts: Vec::new(),
            endpoints: Vec::new(),
            version: 1,
            incarnations: 0,
            _folder: folder,
        };
        for place in 0..hosts {
            let ip = format!("{net}.{}", place + 1);
            fleet.add_host(&ip, place, store_address).await;
        }
        for place in 0..hosts {
            fleet.start_node(place);
        }
        fleet
    }

    async fn add_host(&mut self, ip: &str, place: usize, store: SocketAddr) {
        let port = |port| SocketAddr::new(ip.parse().unwrap(), port);
        let [clients, readiness, control, peers] = [8_304, 8_302, 8_306, 7_640].map(port);
        let (server, advertised) = (port(8_301), port(7_620));
        let seed = self.seed << 8 ^ place as u64;
        let bind = async |target| StreamProxy::bind(target, seed).await.unwrap();
        let streams = vec![
            (Link::Clients, bind(clients).await),
            (Link::Server, bind(server).await),
            (Link::Heartbeats, bind(control).await),
            (Link::Store, bind(store).await),
            (
                Link::Hops,
                StreamProxy::bind_at(advertised, peers, seed).await.unwrap(),
            ),
        ];
        let at = |link: Link| {
            streams
                .iter()
                .find(|(name, _)| *name == link)
                .unwrap()
                .1
                .address()
        };
        let service = if place.is_multiple_of(2) {
            "keyed"
        } else {
            "plain"
        };
        let text = settings(
            ip,
            place,
            service,
            at(Link::Store),
            [clients, readiness, control, at(Link::Server)],
            1_000.0,
        );
        let path = self._folder.path().join(format!("settings-{place}.toml"));
        fs::write(&path, text).unwrap();
        let plan = ServerPlan {
            id: format!("server-{place}"),
            service: service.to_owned(),
            keyed: service == "keyed",
            listen: server,
            advertised: at(Link::Server),
            control: at(Link::Heartbeats),
        };
        let server = StandInServer::spawn(plan, Arc::clone(&self.truth)).await;
        server.set_echo();
        server.set_service_time(SERVICE_TIME);
        let disturbed = Arc::new(Mutex::new(Instant::now()));
        let lost = Arc::new(AtomicBool::new(false));
        self.endpoints.push(HostEndpoint {
            service: service.to_owned(),
            address: at(Link::Clients),
            disturbed: Arc::clone(&disturbed),
            lost: Arc::clone(&lost),
        });
        self.hosts.push(Host {
            server,
            settings: path,
            arguments: vec!["--peers".to_owned(), peers.to_string()],
            lines: Lines::default(),
            process: None,
            streams,
            datagrams: DatagramProxy::bind_at(advertised, peers, seed)
                .await
                .unwrap(),
            disturbed,
            lost,
        });
    }

    /// Plays the script of the seed and returns the promises that were broken.
    pub async fn run(&mut self) -> Vec<String> {
        let clients = Clients::new(self.seed, self.endpoints.clone(), Arc::clone(&self.truth));
        self.wait_until_served(&clients, "after the start").await;
        let running =
            (0..CLIENT_COUNT).map(|number| tokio::spawn(Arc::clone(&clients).run(number)));
        let running: Vec<_> = running.collect();
        self.run_script().await;
        let took = self
            .wait_until_served(&clients, "after the last fault")
            .await;
        clients.end();
        for client in running {
            client.await.unwrap();
        }
        // What was given up may still be worked on for a moment.
        tokio::time::sleep(SERVICE_TIME * 10).await;
        clients.check_all();
        clients.check_unanswered_requests(|place| self.downtimes(place));
        let (served, all) = clients.served();
        println!(
            "seed {}: {served} of {all} served, settled after {took:?}",
            self.seed
        );
        let broken = self.truth.violations();
        if !broken.is_empty() {
            self.keep_logs();
        }
        broken
    }

    async fn run_script(&mut self) {
        let began = Instant::now();
        let mut later: Vec<(Instant, Recovery)> = Vec::new();
        for (at, fault) in script::draw(self.seed, self.hosts.len()) {
            self.wait_until(began + at, &mut later).await;
            println!("seed {} {at:?} {fault:?}", self.seed);
            let undo = self.start_fault(fault);
            later.extend(undo.map(|(time, undo)| (Instant::now() + time, undo)));
        }
        while let Some(last) = later.iter().map(|(at, _)| *at).max() {
            self.wait_until(last, &mut later).await;
        }
    }

    async fn wait_until(&mut self, end: Instant, later: &mut Vec<(Instant, Recovery)>) {
        loop {
            let now = Instant::now();
            let due = later.iter().position(|(at, _)| *at <= now);
            if let Some(due) = due {
                let (_, undo) = later.swap_remove(due);
                let again = self.undo(undo).await;
                later.extend(again.map(|(time, undo)| (now + time, undo)));
                continue;
            }
            if now >= end {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn start_fault(&mut self, fault: Fault) -> Option<(Duration, Recovery)> {
        match fault {
            Fault::Kill(place, time) => {
                self.kill(place);
                Some((time, Recovery::Start(place)))
            }
            Fault::KillMost(time) => {
                for place in 1..self.hosts.len() {
                    self.kill(place);
                }
                Some((time, Recovery::Start(usize::MAX)))
            }
            Fault::Pause(place, time) => {
                self.record_disturbance(place);
                self.signal(place, Signal::STOP);
                Some((time, Recovery::Continue(place)))
            }
            Fault::Leave(place) => {
                // A process that stands still hears nothing.
                self.signal(place, Signal::CONT);
                self.signal(place, Signal::TERM);
                let id = self.hosts[place].process.as_ref()?.id();
                let ended = Recovery::StartOnceEnded(place, id, Instant::now());
                Some((Duration::from_millis(50), ended))
            }
            Fault::Lose(place) => {
                self.remove_host(place);
                None
            }
            Fault::Hup(place) => {
                self.signal(place, Signal::HUP);
                None
            }
            Fault::Crash(place, time) => {
                self.set_stream(place, Link::Server, refusing());
                self.stream(place, Link::Server).cut();
                self.hosts[place].server.crash();
                Some((time, Recovery::Reborn(place)))
            }
            Fault::Drain(place) => {
                let server = &self.hosts[place].server;
                server.drain();
                Some((DRAIN_TIME, Recovery::Replace(place, server.incarnation())))
            }
            Fault::LoseAnswers(place, time) => {
                self.hosts[place].server.drop_responses(true);
                Some((time, Recovery::Answers(place)))
            }
            Fault::Slow(place, time) => {
                self.hosts[place].server.set_service_time(SERVICE_TIME * 30);
                Some((time, Recovery::Fast(place)))
            }
            Fault::Link(place, link, fault, time) => {
                self.set_link_fault(place, link, fault);
                Some((time, Recovery::Heal(place, link)))
            }
            Fault::Store(fault, time) => {
                self.store.set_faults(store_faults(fault));
                Some((time, Recovery::StoreHeals))
            }
            Fault::Evacuate(zone, time) => {
                self.store.write(&format!("evacuate/zone-{zone}"), "{}");
                Some((time, Recovery::Return(zone)))
            }
            Fault::Config => {
                self.version += 1;
                self.store.write("config", &config(self.version, 1_000));
                None
            }
        }
    }

    async fn undo(&mut self, undo: Recovery) -> Option<(Duration, Recovery)> {
        match undo {
            Recovery::Start(usize::MAX) => {
                for place in 1..self.hosts.len() {
                    self.start_node(place);
                }
            }
            Recovery::Start(place) => self.start_node(place),
            Recovery::Continue(place) => {
                self.signal(place, Signal::CONT);
                self.record_disturbance(place);
            }
            Recovery::StartOnceEnded(place, id, since) => {
                return self.restart_once_ended(place, id, since);
            }
            Recovery::Reborn(place) if self.hosts[place].lost.load(Ordering::Relaxed) => {}
            Recovery::Reborn(place) => {
                self.hosts[place]
                    .server
                    .restart_as(&format!("server-{place}"));
                self.set_stream(place, Link::Server, StreamFaults::default());
            }
            Recovery::Replace(place, incarnation) => self.replace(place, &incarnation).await,
            Recovery::Answers(place) => self.hosts[place].server.drop_responses(false),
            Recovery::Fast(place) => self.hosts[place].server.set_service_time(SERVICE_TIME),
            Recovery::Heal(place, link) => self.clear_link_fault(place, link),
            Recovery::StoreHeals => self.store.set_faults(StoreFaults::default()),
            Recovery::Return(zone) => self.store.write(&format!("evacuate/zone-{zone}"), ""),
        }
        None
    }

    /// Starts the process of a host again once the one that was told to leave has ended.
    fn restart_once_ended(
        &mut self,
        place: usize,
        id: u32,
        since: Instant,
    ) -> Option<(Duration, Recovery)> {
        let process = self.hosts[place].process.as_mut();
        let process = process.filter(|process| process.id() == id)?;
        if process.has_ended() {
            self.hosts[place].process = None;
            self.start_node(place);
            return None;
        }
        let disturbed = *self.hosts[place].disturbed.lock().unwrap();
        if since.elapsed() > EXIT_TIMEOUT && disturbed < since {
            let what = format!("the process of node-{place} has not ended");
            self.truth.record_violation(what);
            self.kill(place);
            self.start_node(place);
            return None;
        }
        let look = Recovery::StartOnceEnded(place, id, since);
        Some((Duration::from_millis(50), look))
    }

    /// A server that has said that it leaves is gone, and the next one has its address.
    async fn replace(&mut self, place: usize, incarnation: &str) {
        let server = self.hosts[place].server.clone();
        let lost = self.hosts[place].lost.load(Ordering::Relaxed);
        if server.incarnation() != incarnation || lost {
            return;
        }
        if server.is_drain_acknowledged() && server.ran_after_drain() > DRAIN_TIME {
            let late = server.ran_after_drain();
            self.truth.record_violation(format!(
                "{incarnation} got a request {late:?} after its leave was acknowledged"
            ));
        }
        server.deregister().await;
        self.incarnations += 1;
        server.restart_as(&format!("server-{place}-{}", self.incarnations));
    }

    /// Takes a host away for good, unless too few would be left that can serve everything.
    fn remove_host(&mut self, place: usize) {
        let here = |host: &&Host| !host.lost.load(Ordering::Relaxed);
        let left = self.hosts.iter().filter(here).count();
        let service = &self.endpoints[place].service;
        let endpoints = self.endpoints.iter();
        let same = endpoints
            .filter(|endpoint| endpoint.service == *service)
            .filter(|endpoint| !endpoint.lost.load(Ordering::Relaxed));
        if left <= self.hosts.len() * 2 / 3 || same.count() <= 1 {
            return;
        }
        self.hosts[place].lost.store(true, Ordering::Relaxed);
        self.kill(place);
        self.set_stream(place, Link::Server, refusing());
        self.stream(place, Link::Server).cut();
        self.hosts[place].server.crash();
    }

    fn kill(&mut self, place: usize) {
        self.record_disturbance(place);
        self.hosts[place].process = None;
    }

    fn start_node(&mut self, place: usize) {
        let host = &mut self.hosts[place];
        if host.lost.load(Ordering::Relaxed) {
            return;
        }
        if host.process.as_mut().is_none_or(NodeProcess::has_ended) {
            let process = NodeProcess::spawn(&host.settings, &host.arguments, &host.lines);
            host.process = Some(process);
        }
    }

    fn signal(&mut self, place: usize, signal: Signal) {
        if let Some(process) = self.hosts[place].process.as_mut()
            && !process.has_ended()
        {
            process.signal(signal);
        }
    }

    fn record_disturbance(&self, place: usize) {
        *self.hosts[place].disturbed.lock().unwrap() = Instant::now();
    }

    fn stream(&self, place: usize, link: Link) -> &StreamProxy {
        let mut streams = self.hosts[place].streams.iter();
        &streams.find(|(name, _)| *name == link).unwrap().1
    }

    fn set_stream(&self, place: usize, link: Link, faults: StreamFaults) {
        self.stream(place, link).set_faults(faults);
    }

    fn set_link_fault(&self, place: usize, link: Link, fault: LinkFault) {
        if link == Link::Clients {
            self.record_disturbance(place);
        }
        if link == Link::Datagrams {
            let (forward, back) = datagram_faults(fault);
            self.hosts[place].datagrams.set_faults(forward, back);
            return;
        }
        if fault == LinkFault::Reset {
            self.stream(place, link).cut();
        }
        self.set_stream(place, link, stream_faults(fault));
    }

    fn clear_link_fault(&self, place: usize, link: Link) {
        if link == Link::Clients {
            self.record_disturbance(place);
        }
        match link {
            Link::Datagrams => {
                let none = DatagramFaults::default();
                self.hosts[place].datagrams.set_faults(none, none);
            }
            link => self.set_stream(place, link, StreamFaults::default()),
        }
    }

    /// Waits until every host serves everything.
    async fn wait_until_served(&self, clients: &Clients, when: &str) -> Duration {
        let began = Instant::now();
        while !clients.all_served(&SAMPLE_KEYS).await {
            if began.elapsed() > SERVED_TIMEOUT {
                let held = self.truth.held();
                let what = format!("not everything is served {when}; {held} keys are held");
                self.truth.record_violation(what);
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        began.elapsed()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for place in 0..self.hosts.len() {
            // A stopped process can be killed, but its connections are not told until then.
            self.hosts[place].process = None;
        }
    }
}

fn refusing() -> StreamFaults {
    StreamFaults {
        refuse: true,
        ..StreamFaults::default()
    }
}

fn stream_faults(fault: LinkFault) -> StreamFaults {
    let slow = DirectionFaults {
        latency: Duration::from_millis(80),
        jitter: Duration::from_millis(200),
        ..DirectionFaults::default()
    };
    let cut = DirectionFaults {
        blackhole: true,
        ..DirectionFaults::default()
    };
    let (forward, back, refuse) = match fault {
        LinkFault::Slow => (slow, slow, false),
        LinkFault::Reset => Default::default(),
        LinkFault::CutForward => (cut, DirectionFaults::default(), false),
        LinkFault::CutBack => (DirectionFaults::default(), cut, false),
        LinkFault::Silent => (cut, cut, false),
        LinkFault::Refuse => return refusing(),
    };
    StreamFaults {
        forward,
        back,
        refuse,
    }
}

fn datagram_faults(fault: LinkFault) -> (DatagramFaults, DatagramFaults) {
    let lost = DatagramFaults {
        drop: 1.0,
        ..DatagramFaults::default()
    };
    let odd = DatagramFaults {
        drop: 0.1,
        duplicate: 0.2,
        reorder: 0.2,
        late: Duration::from_millis(700),
        latency: Duration::from_millis(30),
    };
    match fault {
        LinkFault::Slow | LinkFault::Reset => (odd, odd),
        LinkFault::CutForward => (lost, DatagramFaults::default()),
        LinkFault::CutBack => (DatagramFaults::default(), lost),
        LinkFault::Silent | LinkFault::Refuse => (lost, lost),
    }
}

fn store_faults(fault: StoreFaultKind) -> StoreFaults {
    let none = StoreFaults::default();
    match fault {
        StoreFaultKind::Away => StoreFaults {
            unavailable: true,
            ..none
        },
        StoreFaultKind::Slow => StoreFaults {
            slow: Duration::from_millis(300),
            ..none
        },
        StoreFaultKind::LosesAnswers => StoreFaults {
            drops_replies: true,
            ..none
        },
        StoreFaultKind::Late => StoreFaults {
            late: Some(Duration::from_secs(3)),
            ..none
        },
    }
}
