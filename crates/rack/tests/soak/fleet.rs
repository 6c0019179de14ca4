//! Hosts with a proxy on every connection.

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
use crate::poison::PoisonClients;
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

const CLIENT_COUNT: u64 = 24;
/// How many contents end servers.
const POISON_COUNT: u64 = 3;
/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time limit for serving everything after the start and after the last fault: establishing a new
/// leadership when the recorded majority is gone takes 20 s at most.
const SERVED_TIMEOUT: Duration = Duration::from_secs(25);
/// Time after which no request may reach a server whose drain was acknowledged.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time after which a server that says only in its responses that it is leaving is replaced: long enough
/// for requests that come too late to be seen.
const LEAVING_TIME: Duration = Duration::from_millis(4_000);
/// Time limit for a process to exit after SIGTERM: the grace time of its settings, and a margin for
/// the busy machine.
const EXIT_TIMEOUT: Duration = Duration::from_millis(7_500);
/// By then a process that SIGHUP ends has ended.
const HUP_TIME: Duration = Duration::from_millis(300);
/// Sample of keys that is requested to check whether all keys are served.
const SAMPLE_KEYS: [u16; 8] = [0, 9_000, 18_000, 27_000, 36_000, 45_000, 54_000, 65_535];

pub(super) struct Host {
    server: StandInServer,
    settings: PathBuf,
    arguments: Vec<String>,
    pub(super) lines: Lines,
    process: Option<NodeProcess>,
    streams: Vec<(Link, StreamProxy)>,
    datagrams: DatagramProxy,
    disturbed: Arc<Mutex<Instant>>,
    removed: Arc<AtomicBool>,
}

/// A fleet under test.
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

/// A step that ends a fault or follows it up.
enum Recovery {
    StartNode(usize),
    Resume(usize),
    /// Index, process id and when SIGTERM was sent.
    StartOnceEnded(usize, u32, Instant),
    /// Index, process id and whether the process listened when it got SIGHUP.
    StartIfHungUp(usize, u32, bool),
    RestartServer(usize),
    ReplaceServer(usize, String),
    LiftLimit(usize, String),
    DeliverResponses(usize),
    ResetSpeed(usize),
    ClearLinkFault(usize, Link),
    ClearStoreFaults,
    EndEvacuation(usize),
}

impl Fleet {
    /// Starts a fleet.
    pub async fn start(seed: u64, hosts: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let subnet = format!("127.{}.{}", 1 + std::process::id() % 250, 100 + seed % 100);
        let (store, store_address) = StandInStore::bind(&format!("{subnet}.250")).await;
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
        for index in 0..hosts {
            let ip = format!("{subnet}.{}", index + 1);
            fleet.add_host(&ip, index, store_address).await;
        }
        for index in 0..hosts {
            fleet.start_node(index);
        }
        fleet
    }

    async fn add_host(&mut self, ip: &str, index: usize, store: SocketAddr) {
        let port = |port| SocketAddr::new(ip.parse().unwrap(), port);
        let [clients, readiness, control, peers] = [8_304, 8_302, 8_306, 7_640].map(port);
        let (server, advertised) = (port(8_301), port(7_620));
        let seed = self.seed << 8 ^ index as u64;
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
        let service = if index.is_multiple_of(2) {
            "keyed"
        } else {
            "plain"
        };
        let text = settings(
            ip,
            index,
            service,
            at(Link::Store),
            [clients, readiness, control, at(Link::Server)],
            1_000.0,
        );
        let path = self._folder.path().join(format!("settings-{index}.toml"));
        fs::write(&path, text).unwrap();
        let plan = ServerPlan {
            id: format!("server-{index}"),
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
        let removed = Arc::new(AtomicBool::new(false));
        self.endpoints.push(HostEndpoint {
            service: service.to_owned(),
            address: at(Link::Clients),
            disturbed: Arc::clone(&disturbed),
            removed: Arc::clone(&removed),
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
            removed,
        });
    }

    /// Runs the script of the seed and returns the violated guarantees.
    pub async fn run(&mut self) -> Vec<String> {
        let clients = Clients::new(self.seed, self.endpoints.clone(), Arc::clone(&self.truth));
        self.wait_until_served(&clients, "after the start").await;
        let running =
            (0..CLIENT_COUNT).map(|number| tokio::spawn(Arc::clone(&clients).run(number)));
        let at_hosts =
            (0..self.hosts.len()).map(|index| tokio::spawn(Arc::clone(&clients).run_at(index)));
        let running: Vec<_> = running.chain(at_hosts).collect();
        let poison = PoisonClients::new(self.seed, self.endpoints.clone());
        let asking = (0..POISON_COUNT).map(|number| tokio::spawn(Arc::clone(&poison).run(number)));
        let asking: Vec<_> = asking.collect();
        self.run_script().await;
        poison.end();
        for client in asking {
            let statuses = client.await.unwrap();
            println!(
                "seed {}: statuses of a marked content {statuses:?}",
                self.seed
            );
        }
        let took = self
            .wait_until_served(&clients, "after the last fault")
            .await;
        clients.end();
        for client in running {
            client.await.unwrap();
        }
        // Cancelled requests may still be running for a moment.
        tokio::time::sleep(SERVICE_TIME * 10).await;
        clients.check_all();
        clients.check_unanswered_requests(|index| self.downtimes(index));
        for violation in self.truth.notices.violations() {
            self.truth.record_violation(violation);
        }
        for violation in self.truth.contents.violations(Duration::ZERO) {
            self.truth.record_violation(violation);
        }
        let refused = self.innocent_refusals();
        if let Some(first) = refused.first() {
            let count = refused.len();
            let what = format!("{count} other requests refused for suspicion, first {first}");
            self.truth.record_violation(what);
        }
        let (served, all) = clients.served();
        println!(
            "seed {}: {served} of {all} served, settled after {took:?}",
            self.seed
        );
        let violations = self.truth.violations();
        if !violations.is_empty() {
            self.keep_logs();
        }
        violations
    }

    async fn run_script(&mut self) {
        let began = Instant::now();
        let mut recoveries: Vec<(Instant, Recovery)> = Vec::new();
        for (at, fault) in script::draw(self.seed, self.hosts.len()) {
            self.wait_until(began + at, &mut recoveries).await;
            println!("seed {} {at:?} {fault:?}", self.seed);
            let recovery = self.start_fault(fault);
            recoveries.extend(recovery.map(|(time, recovery)| (Instant::now() + time, recovery)));
        }
        while let Some(last) = recoveries.iter().map(|(at, _)| *at).max() {
            self.wait_until(last, &mut recoveries).await;
        }
    }

    async fn wait_until(&mut self, end: Instant, recoveries: &mut Vec<(Instant, Recovery)>) {
        loop {
            let now = Instant::now();
            let due = recoveries.iter().position(|(at, _)| *at <= now);
            if let Some(due) = due {
                let (_, recovery) = recoveries.swap_remove(due);
                let next = self.recover(recovery).await;
                recoveries.extend(next.map(|(time, recovery)| (now + time, recovery)));
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
            Fault::Kill(index, time) => {
                self.kill(index);
                Some((time, Recovery::StartNode(index)))
            }
            Fault::KillMost(time) => {
                for index in 1..self.hosts.len() {
                    self.kill(index);
                }
                Some((time, Recovery::StartNode(usize::MAX)))
            }
            Fault::Pause(index, time) => {
                self.record_disturbance(index);
                self.signal(index, Signal::STOP);
                Some((time, Recovery::Resume(index)))
            }
            Fault::Terminate(index) => {
                // A paused process does not handle signals.
                self.signal(index, Signal::CONT);
                self.signal(index, Signal::TERM);
                let id = self.hosts[index].process.as_ref()?.id();
                let ended = Recovery::StartOnceEnded(index, id, Instant::now());
                Some((Duration::from_millis(50), ended))
            }
            Fault::RemoveHost(index) => {
                self.remove_host(index);
                None
            }
            Fault::Hup(index) => {
                let id = self.hosts[index].process.as_ref()?.id();
                let listened = self.has_listened(index, id);
                self.signal(index, Signal::HUP);
                Some((HUP_TIME, Recovery::StartIfHungUp(index, id, listened)))
            }
            Fault::Crash(index, time) => {
                self.set_stream(index, Link::Server, refusing());
                self.stream(index, Link::Server).cut();
                self.hosts[index].server.crash();
                Some((time, Recovery::RestartServer(index)))
            }
            Fault::Drain(index) => {
                let server = &self.hosts[index].server;
                server.drain();
                Some((
                    DRAIN_TIME,
                    Recovery::ReplaceServer(index, server.incarnation()),
                ))
            }
            Fault::LeaveByResponse(index) => {
                let server = &self.hosts[index].server;
                server.leave_by_response();
                let replaced = Recovery::ReplaceServer(index, server.incarnation());
                Some((LEAVING_TIME, replaced))
            }
            Fault::NameLimit(index, limit, time) => {
                let server = &self.hosts[index].server;
                server.name_limit(Some(&limit.to_string()));
                Some((time, Recovery::LiftLimit(index, server.incarnation())))
            }
            Fault::LoseResponses(index, time) => {
                self.hosts[index].server.drop_responses(true);
                Some((time, Recovery::DeliverResponses(index)))
            }
            Fault::Slow(index, time) => {
                self.hosts[index].server.set_service_time(SERVICE_TIME * 30);
                Some((time, Recovery::ResetSpeed(index)))
            }
            Fault::Link(index, link, fault, time) => {
                self.set_link_fault(index, link, fault);
                Some((time, Recovery::ClearLinkFault(index, link)))
            }
            Fault::Store(fault, time) => {
                self.store.set_faults(store_faults(fault));
                Some((time, Recovery::ClearStoreFaults))
            }
            Fault::Evacuate(zone, time) => {
                self.store.write(&format!("evacuate/zone-{zone}"), "{}");
                Some((time, Recovery::EndEvacuation(zone)))
            }
            Fault::Config => {
                self.version += 1;
                self.store.write("config", &config(self.version, 1_000));
                None
            }
        }
    }

    async fn recover(&mut self, recovery: Recovery) -> Option<(Duration, Recovery)> {
        match recovery {
            Recovery::StartNode(usize::MAX) => {
                for index in 1..self.hosts.len() {
                    self.start_node(index);
                }
            }
            Recovery::StartNode(index) => self.start_node(index),
            Recovery::Resume(index) => {
                // Its clients may notice what the process does next before this task goes on.
                self.record_disturbance(index);
                self.signal(index, Signal::CONT);
            }
            Recovery::StartOnceEnded(index, id, since) => {
                return self.restart_once_ended(index, id, since);
            }
            Recovery::StartIfHungUp(index, id, listened) => {
                self.restart_if_hung_up(index, id, listened);
            }
            Recovery::RestartServer(index) if self.hosts[index].removed.load(Ordering::Relaxed) => {
            }
            Recovery::RestartServer(index) => {
                self.hosts[index]
                    .server
                    .restart_as(&format!("server-{index}"));
                self.set_stream(index, Link::Server, StreamFaults::default());
            }
            Recovery::ReplaceServer(index, incarnation) => {
                self.replace_server(index, &incarnation).await
            }
            Recovery::LiftLimit(index, incarnation) => {
                let server = &self.hosts[index].server;
                if server.incarnation() == incarnation {
                    server.name_limit(None);
                }
            }
            Recovery::DeliverResponses(index) => self.hosts[index].server.drop_responses(false),
            Recovery::ResetSpeed(index) => self.hosts[index].server.set_service_time(SERVICE_TIME),
            Recovery::ClearLinkFault(index, link) => self.clear_link_fault(index, link),
            Recovery::ClearStoreFaults => self.store.set_faults(StoreFaults::default()),
            Recovery::EndEvacuation(zone) => self.store.write(&format!("evacuate/zone-{zone}"), ""),
        }
        None
    }

    /// Restarts the process of a host once the one that received SIGTERM has exited.
    fn restart_once_ended(
        &mut self,
        index: usize,
        id: u32,
        since: Instant,
    ) -> Option<(Duration, Recovery)> {
        let process = self.hosts[index].process.as_mut();
        let process = process.filter(|process| process.id() == id)?;
        if process.has_ended() {
            self.hosts[index].process = None;
            self.forget_if_none_runs();
            self.start_node(index);
            return None;
        }
        let disturbed = *self.hosts[index].disturbed.lock().unwrap();
        if since.elapsed() > EXIT_TIMEOUT && disturbed < since {
            let what = format!("the process of node-{index} has not ended");
            self.truth.record_violation(what);
            self.kill(index);
            self.start_node(index);
            return None;
        }
        let recheck = Recovery::StartOnceEnded(index, id, since);
        Some((Duration::from_millis(50), recheck))
    }

    /// Restarts the process of a host if SIGHUP has ended it, which may happen only before the process can handle
    /// signals.
    fn restart_if_hung_up(&mut self, index: usize, id: u32, listened: bool) {
        let process = self.hosts[index].process.as_mut();
        let process = process.filter(|process| process.id() == id);
        if !process.is_some_and(|process| process.has_ended_by(Signal::HUP)) {
            return;
        }
        if listened {
            let what = format!("SIGHUP has ended the process of node-{index}");
            self.truth.record_violation(what);
        }
        self.kill(index);
        self.start_node(index);
    }

    /// Returns whether a process has said that it listens.
    fn has_listened(&self, index: usize, id: u32) -> bool {
        let lines = self.hosts[index].lines.lock().unwrap();
        let own = lines.iter().skip_while(|line| line["pid"] != id);
        let mut begun = own.filter(|line| line["event"] == "traffic_begins");
        begun.next().is_some()
    }

    /// Deregisters a draining server and starts its successor at the same address.
    async fn replace_server(&mut self, index: usize, incarnation: &str) {
        let server = self.hosts[index].server.clone();
        let removed = self.hosts[index].removed.load(Ordering::Relaxed);
        if server.incarnation() != incarnation || removed {
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
        server.restart_as(&format!("server-{index}-{}", self.incarnations));
    }

    /// Removes a host permanently, unless too few would remain to serve everything.
    fn remove_host(&mut self, index: usize) {
        let present = |host: &&Host| !host.removed.load(Ordering::Relaxed);
        let left = self.hosts.iter().filter(present).count();
        let service = &self.endpoints[index].service;
        let endpoints = self.endpoints.iter();
        let same = endpoints
            .filter(|endpoint| endpoint.service == *service)
            .filter(|endpoint| !endpoint.removed.load(Ordering::Relaxed));
        if left <= self.hosts.len() * 2 / 3 || same.count() <= 1 {
            return;
        }
        self.hosts[index].removed.store(true, Ordering::Relaxed);
        self.hosts[index].server.set_restarts(false);
        self.kill(index);
        self.set_stream(index, Link::Server, refusing());
        self.stream(index, Link::Server).cut();
        self.hosts[index].server.crash();
    }

    fn kill(&mut self, index: usize) {
        self.record_disturbance(index);
        self.hosts[index].process = None;
        self.forget_if_none_runs();
    }

    /// Forgets the ends if no process runs that could know of them, be it killed or shut down.
    fn forget_if_none_runs(&mut self) {
        let mut processes = self.hosts.iter_mut().map(|host| host.process.as_mut());
        if processes.all(|process| process.is_none_or(NodeProcess::has_ended)) {
            self.truth.contents.forget_ends();
        }
    }

    fn start_node(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.removed.load(Ordering::Relaxed) {
            return;
        }
        if host.process.as_mut().is_none_or(NodeProcess::has_ended) {
            let process = NodeProcess::spawn(&host.settings, &host.arguments, &host.lines);
            host.process = Some(process);
            self.truth.notices.disturbed(index);
        }
    }

    fn signal(&mut self, index: usize, signal: Signal) {
        if let Some(process) = self.hosts[index].process.as_mut()
            && !process.has_ended()
        {
            process.signal(signal);
        }
    }

    fn record_disturbance(&self, index: usize) {
        self.truth.notices.disturbed(index);
        *self.hosts[index].disturbed.lock().unwrap() = Instant::now();
    }

    fn stream(&self, index: usize, link: Link) -> &StreamProxy {
        let mut streams = self.hosts[index].streams.iter();
        &streams.find(|(name, _)| *name == link).unwrap().1
    }

    fn set_stream(&self, index: usize, link: Link, faults: StreamFaults) {
        self.stream(index, link).set_faults(faults);
    }

    fn set_link_fault(&self, index: usize, link: Link, fault: LinkFault) {
        if !matches!(fault, LinkFault::Slow | LinkFault::Reset) {
            self.truth.notices.disturbed(index);
        }
        if link == Link::Clients {
            self.record_disturbance(index);
        }
        if link == Link::Datagrams {
            let (forward, back) = datagram_faults(fault);
            self.hosts[index].datagrams.set_faults(forward, back);
            return;
        }
        if fault == LinkFault::Reset {
            self.stream(index, link).cut();
        }
        self.set_stream(index, link, stream_faults(fault));
    }

    fn clear_link_fault(&self, index: usize, link: Link) {
        self.truth.notices.disturbed(index);
        if link == Link::Clients {
            self.record_disturbance(index);
        }
        match link {
            Link::Datagrams => {
                let none = DatagramFaults::default();
                self.hosts[index].datagrams.set_faults(none, none);
            }
            link => self.set_stream(index, link, StreamFaults::default()),
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
        for index in 0..self.hosts.len() {
            // A paused process can be killed, but its connections stay open until then.
            self.hosts[index].process = None;
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
        StoreFaultKind::Unavailable => StoreFaults {
            unavailable: true,
            ..none
        },
        StoreFaultKind::Slow => StoreFaults {
            slow: Duration::from_millis(300),
            ..none
        },
        StoreFaultKind::DropsReplies => StoreFaults {
            drops_replies: true,
            ..none
        },
        StoreFaultKind::Late => StoreFaults {
            late: Some(Duration::from_secs(3)),
            ..none
        },
    }
}
