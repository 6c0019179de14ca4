//! The simulated fleet.

mod calls;
mod checks;
mod connections;
mod departures;
mod faults;
mod restarts;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::boundary::AppendOutcome;
use quetzalrack_mesh::model::Granting;
use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::model::RoutingConfig;
use quetzalrack_mesh::model::ServerHeartbeat;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::model::ServiceSettings;
use quetzalrack_mesh::ownership::Action;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::HeartbeatAnswer;
use quetzalrack_mesh::ownership::LeaderRead;
use quetzalrack_mesh::ownership::LeaderRecord;
use quetzalrack_mesh::ownership::LeaseTimes;
use quetzalrack_mesh::ownership::NodeIncarnation;
use quetzalrack_mesh::ownership::NodeMachine;
use quetzalrack_mesh::ownership::NodeProfile;
use quetzalrack_mesh::ownership::PeerMessage;
use quetzalrack_mesh::ownership::ServerEvent;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::FaultKind;
use super::fake_server::FakeServer;
use super::fake_store::FakeStore;
use super::tracing;
use calls::CallStage;
use connections::Connection;
use departures::DelayedAnswer;
pub use departures::Departure;
pub use departures::DeparturePlan;
pub use departures::Killed;

/// The service whose keys have owners.
const KEYED: &str = "keyed";
const OTHER: &str = "other";
const HEARTBEAT: Duration = Duration::from_millis(870);
/// The last part of a schedule, long after its last fault.
const FINAL_PERIOD: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_millis(100);

/// The parameters of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// The share of messages between nodes that arrive up to four seconds late.
    pub late_share: f64,
    pub seed: u64,
    /// How servers are granted keys.
    pub granting: Granting,
    pub nodes: usize,
    pub faults: FaultKind,
    /// How long faults are injected.
    pub fault_time: Duration,
    /// How long the fleet runs without new faults after that.
    pub recovery_time: Duration,
}

/// A whole fleet.
pub struct Fleet {
    plan: FleetPlan,
    random: ChaCha8Rng,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    events: Vec<Option<SimEvent>>,
    nodes: Vec<Host>,
    store: FakeStore,
    store_down: bool,
    store_partitions: BTreeSet<usize>,
    store_loses_responses: bool,
    /// Whether writes have no effect and get no response, while reads do.
    writes_are_silent: bool,
    partitions: BTreeSet<(usize, usize)>,
    /// The highest token with which each key was held, and by which incarnation first.
    highest_fences: BTreeMap<u16, (u64, Option<ServerIncarnation>)>,
    /// The largest number of keys that had an owner at once in the final period. A late heartbeat costs a
    /// server its keys for a moment, so one sample at the end is not representative.
    pub final_owned: u32,
    /// Time without an owner, summed over samples, in thousandths of the keys.
    pub unowned: u64,
    pub grants: u64,
    /// Calls for which there was no connection.
    pub unsent: u64,
    pub violation: Option<String>,
    /// The departure of a server, if the test plans one.
    pub departure: Option<Departure>,
    models_connections: bool,
    /// Whether each step is printed, to find the cause of a failure.
    trace: bool,
}

struct Host {
    name: NodeName,
    machine: Option<NodeMachine>,
    started: Moment,
    incarnation: u64,
    frozen: bool,
    deferred: Vec<SimEvent>,
    delayed: Vec<DelayedAnswer>,
    server: Option<FakeServer>,
    connections: Vec<Connection>,
    /// Whether the host is lost permanently.
    gone: bool,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Tick(usize, u64),
    HeartbeatDue(usize, u64),
    MessageReceived(usize, SocketAddr, PeerMessage),
    SendHeartbeat(usize, u64),
    HeartbeatReceived(usize, ServerHeartbeat),
    HeartbeatAnswered(usize, u64, u64, HeartbeatAnswer),
    Call(usize, u64, CallStage),
    ReadStore(usize, u64, Moment),
    WriteStore(usize, u64, u64, LeaderRecord),
    ReadDone(usize, u64, Moment, LeaderRead),
    WriteDone(usize, u64, AppendOutcome),
    LoseStore,
    KillAll(Duration),
    ShutDownLeader,
    LoseLeader,
    ServerLeaves(DeparturePlan),
    ServerCrashes,
    ServerCrashesUnheard,
    KillBeside(usize, ServerHeartbeat),
    DeliverLate(usize, ServerHeartbeat),
    LeavingReceived(usize, ServerIncarnation),
    ShutDown(usize, u64),
    ProcessEnded(usize, u64),
    StartNode(usize),
    StartServer(usize),
    InjectFaults,
    Recover(Recovery),
}

#[derive(Clone, Debug)]
enum Recovery {
    Resume(usize),
    Link(usize, usize),
    Store,
    StoreLink(usize),
    StoreResponses,
}

impl Fleet {
    pub fn new(plan: FleetPlan) -> Self {
        let nodes = (0..plan.nodes).map(|index| Host {
            name: format!("node-{index}").parse().unwrap(),
            machine: None,
            started: Moment::default(),
            incarnation: 0,
            frozen: false,
            deferred: Vec::new(),
            delayed: Vec::new(),
            server: None,
            connections: Vec::new(),
            gone: false,
        });
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            now: Moment(1_000_000_000),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            nodes: nodes.collect(),
            store: FakeStore::default(),
            store_down: false,
            store_partitions: BTreeSet::new(),
            store_loses_responses: false,
            writes_are_silent: false,
            partitions: BTreeSet::new(),
            highest_fences: BTreeMap::new(),
            final_owned: 0,
            unowned: 0,
            grants: 0,
            unsent: 0,
            violation: None,
            departure: None,
            models_connections: false,
            trace: std::env::var_os("QUETZALRACK_TRACE").is_some(),
            plan,
        };
        for index in 0..plan.nodes {
            let delay = fleet.random_delay(300);
            fleet.schedule(delay, SimEvent::StartServer(index));
            let delay = fleet.random_delay(300);
            fleet.schedule(delay, SimEvent::StartNode(index));
        }
        if plan.faults != FaultKind::NoFaults {
            let delay = Duration::from_secs(6) + fleet.random_delay(2_000);
            fleet.schedule(delay, SimEvent::InjectFaults);
        }
        fleet
    }

    /// Makes the store unreachable for all nodes from a time after the start, for a while.
    pub fn lose_store(&mut self, at: Duration, span: Duration) {
        self.schedule(at, SimEvent::LoseStore);
        self.schedule(at + span, SimEvent::Recover(Recovery::Store));
    }

    /// Kills all processes, and lets the store answer no write of the next ones for `span`.
    pub fn silence_claims(&mut self, at: Duration, span: Duration) {
        self.schedule(at, SimEvent::KillAll(span));
    }

    /// Tells the leader's process to shut down.
    pub fn shut_down_leader(&mut self, at: Duration) {
        self.schedule(at, SimEvent::ShutDownLeader);
    }

    /// Removes the leader's host and its server permanently.
    pub fn lose_leader(&mut self, at: Duration) {
        self.schedule(at, SimEvent::LoseLeader);
    }

    /// Runs the schedule.
    pub fn run(&mut self) {
        let end = self.now + self.plan.fault_time + self.plan.recovery_time;
        let mut sampled_at = self.now;
        while let Some(Reverse((at, _, index))) = self.queue.pop() {
            if at > end || self.violation.is_some() {
                break;
            }
            self.now = at;
            if let Some(event) = self.events[index].take() {
                self.handle(event);
            }
            if self.now.since(sampled_at) >= Duration::from_millis(100) {
                sampled_at = self.now;
                self.sample_departure();
                let owned = self.owned();
                self.unowned += u64::from(65_536_u32.saturating_sub(owned)) * 1_000 / 65_536;
                if end.since(self.now) < FINAL_PERIOD {
                    self.final_owned = self.final_owned.max(owned);
                }
            }
        }
    }

    /// Returns the number of compared pairs of tables with the same version, and the version of the first
    /// pair that differs, if any.
    pub fn compare_tables(&self) -> (u32, Option<String>) {
        let running = self.nodes.iter().filter_map(|host| host.machine.as_ref());
        let tables: Vec<&Directory> = running.map(NodeMachine::directory).collect();
        let mut compared = 0;
        for (index, one) in tables.iter().enumerate() {
            for other in &tables[index + 1..] {
                if one.epoch != other.epoch {
                    continue;
                }
                if one.owners_version == other.owners_version && one.owners_version > 0 {
                    compared += 1;
                    if one.owners != other.owners {
                        return (
                            compared,
                            Some(format!("owners of version {}", one.owners_version)),
                        );
                    }
                }
                let members = |table: &Directory| -> Vec<_> {
                    let entries = table.members.values();
                    entries
                        .map(|entry| (entry.member.clone(), entry.responsive))
                        .collect()
                };
                if one.members_version == other.members_version && one.members_version > 0 {
                    compared += 1;
                    if members(one) != members(other) {
                        return (
                            compared,
                            Some(format!("members of version {}", one.members_version)),
                        );
                    }
                }
            }
        }
        (compared, None)
    }

    /// Returns the number of keys that have an owner now.
    pub fn owned(&mut self) -> u32 {
        let now = self.now;
        let mut owned = 0;
        for host in &mut self.nodes {
            if let Some(server) = &mut host.server {
                server.expire(now);
                owned += server
                    .holdings
                    .iter()
                    .map(|holding| holding.held.keys.size())
                    .sum::<u32>();
            }
        }
        owned
    }

    fn random_delay(&mut self, max_ms: u64) -> Duration {
        Duration::from_micros(self.random.random_range(0..=max_ms * 1_000))
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        let index = self.events.len();
        self.events.push(Some(event));
        self.queue
            .push(Reverse((self.now + delay, index as u64, index)));
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::LoseStore => self.store_down = true,
            SimEvent::ShutDownLeader => {
                if let Some(index) = self.leader() {
                    self.inject(FaultKind::Shutdowns, index);
                }
            }
            SimEvent::LoseLeader => {
                if let Some(index) = self.leader() {
                    let host = &mut self.nodes[index];
                    host.machine = None;
                    host.deferred.clear();
                    host.server = None;
                    host.gone = true;
                }
            }
            SimEvent::ServerLeaves(plan) => self.start_departure(plan),
            SimEvent::KillAll(span) => {
                self.writes_are_silent = true;
                self.schedule(span, SimEvent::Recover(Recovery::Store));
                for index in 0..self.nodes.len() {
                    self.inject(FaultKind::Kills, index);
                }
            }
            SimEvent::ServerCrashes => self.crash_server(),
            SimEvent::ServerCrashesUnheard => self.crash_unheard(),
            SimEvent::KillBeside(index, late) => self.kill_beside(index, late),
            SimEvent::DeliverLate(index, late) => self.deliver_late(index, late),
            event @ SimEvent::LeavingReceived(..) => self.announce_leaving(event),
            SimEvent::ShutDown(index, incarnation) => {
                self.step(
                    index,
                    incarnation,
                    Event::Shutdown,
                    SimEvent::ShutDown(index, incarnation),
                );
            }
            SimEvent::ProcessEnded(index, incarnation) => {
                if self.nodes[index].incarnation == incarnation
                    && self.nodes[index].machine.take().is_some()
                {
                    self.nodes[index].deferred.clear();
                    let delay = Duration::from_millis(100) + self.random_delay(1_000);
                    self.schedule(delay, SimEvent::StartNode(index));
                }
            }
            SimEvent::StartNode(index) => self.start_node(index),
            SimEvent::StartServer(index) => self.start_server(index),
            SimEvent::Tick(index, incarnation) => {
                if self.step(
                    index,
                    incarnation,
                    Event::Tick,
                    SimEvent::Tick(index, incarnation),
                ) {
                    self.schedule(TICK, SimEvent::Tick(index, incarnation));
                }
            }
            SimEvent::HeartbeatDue(index, incarnation) => {
                self.step(
                    index,
                    incarnation,
                    Event::Tick,
                    SimEvent::HeartbeatDue(index, incarnation),
                );
            }
            SimEvent::MessageReceived(index, from, message) => {
                let incarnation = self.nodes[index].incarnation;
                let deferred = SimEvent::MessageReceived(index, from, message.clone());
                self.step(index, incarnation, Event::Message(from, message), deferred);
            }
            SimEvent::SendHeartbeat(index, started_ms) => self.send_heartbeat(index, started_ms),
            SimEvent::HeartbeatReceived(index, heartbeat) => {
                let incarnation = self.nodes[index].incarnation;
                let deferred = SimEvent::HeartbeatReceived(index, heartbeat.clone());
                self.record_draining(&heartbeat);
                let event = Event::Server(ServerEvent::Heartbeat(heartbeat));
                if self.step(index, incarnation, event, deferred) {
                    self.open_connections(index);
                }
            }
            SimEvent::HeartbeatAnswered(index, started_ms, sequence, answer) => {
                self.answer_heartbeat(index, started_ms, sequence, &answer);
            }
            SimEvent::Call(index, incarnation, stage) => self.call(index, incarnation, stage),
            SimEvent::ReadStore(index, incarnation, asked) => {
                let read = match self.reaches_store(index) {
                    true => self.store.newest(),
                    false => LeaderRead::Unavailable,
                };
                let delay = self.random_delay(20);
                self.schedule(delay, SimEvent::ReadDone(index, incarnation, asked, read));
            }
            SimEvent::WriteStore(index, incarnation, end, record) => {
                self.write(index, incarnation, end, record)
            }
            SimEvent::ReadDone(index, incarnation, asked, read) => {
                let deferred = SimEvent::ReadDone(index, incarnation, asked, read.clone());
                self.step(index, incarnation, Event::LeaderRead(asked, read), deferred);
            }
            SimEvent::WriteDone(index, incarnation, outcome) => {
                let deferred = SimEvent::WriteDone(index, incarnation, outcome);
                self.step(index, incarnation, Event::LeaderWritten(outcome), deferred);
            }
            SimEvent::InjectFaults => self.inject_faults(),
            SimEvent::Recover(recovery) => self.recover(recovery),
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.machine.as_ref().is_some_and(NodeMachine::is_leader);
        self.nodes.iter().position(leads)
    }

    fn write(&mut self, index: usize, incarnation: u64, end: u64, record: LeaderRecord) {
        if self.writes_are_silent {
            let unknown = SimEvent::WriteDone(index, incarnation, AppendOutcome::Unknown);
            self.schedule(Duration::from_millis(1_500), unknown);
            return;
        }
        if !self.reaches_store(index) {
            let outcome = match self.random.random_bool(0.5) {
                true => AppendOutcome::Refused,
                false => AppendOutcome::Unknown,
            };
            let delay = self.random_delay(500);
            self.schedule(delay, SimEvent::WriteDone(index, incarnation, outcome));
            return;
        }
        if self.store_loses_responses && self.random.random_bool(0.5) {
            // The append takes effect now or seconds later, and gets no response.
            if self.random.random_bool(0.5) {
                self.store.append(end, record);
            } else {
                let delay = Duration::from_secs(1) + self.random_delay(4_000);
                self.schedule(delay, SimEvent::WriteStore(index, u64::MAX, end, record));
            }
            let delay = Duration::from_millis(1_500);
            self.schedule(
                delay,
                SimEvent::WriteDone(index, incarnation, AppendOutcome::Unknown),
            );
            return;
        }
        let outcome = self.store.append(end, record);
        let delay = self.random_delay(20);
        self.schedule(delay, SimEvent::WriteDone(index, incarnation, outcome));
    }

    fn reaches_store(&self, index: usize) -> bool {
        !self.store_down && !self.store_partitions.contains(&index)
    }

    fn start_node(&mut self, index: usize) {
        let host = &mut self.nodes[index];
        if host.gone || host.machine.is_some() {
            return;
        }
        host.incarnation += 1;
        host.connections.clear();
        host.started = self.now;
        let incarnation = host.incarnation;
        let profile = NodeProfile {
            incarnation: NodeIncarnation {
                node: host.name.clone(),
                nonce: incarnation,
            },
            zone: format!("zone-{}", index % 4).parse().unwrap(),
            control: address(index),
            traffic: address(index),
            service: service(index).parse().unwrap(),
            server: "127.0.0.1:1".parse().unwrap(),
            heartbeat: HEARTBEAT,
            granting: self.plan.granting,
            narrow_link: index % 3 == 2,
            seed: self.random.random(),
        };
        let mut machine = NodeMachine::new(
            self.now,
            profile,
            LeaseTimes::for_granting(self.plan.granting, HEARTBEAT),
        );
        machine.step(self.now, Event::Intent(intent()));
        self.nodes[index].machine = Some(machine);
        let delay = self.random_delay(100);
        self.schedule(delay, SimEvent::Tick(index, incarnation));
    }

    fn start_server(&mut self, index: usize) {
        let host = &mut self.nodes[index];
        if host.gone || host.server.is_some() {
            return;
        }
        let started_ms = self.now.0 / 1_000_000;
        host.server = Some(FakeServer::new(
            &format!("server-{index}"),
            started_ms,
            service(index),
        ));
        let delay = self.random_delay(300);
        self.schedule(delay, SimEvent::SendHeartbeat(index, started_ms));
    }

    fn send_heartbeat(&mut self, index: usize, started_ms: u64) {
        let now = self.now;
        let Some(server) = self.nodes[index]
            .server
            .as_mut()
            .filter(|server| server.incarnation.started_ms == started_ms)
        else {
            return;
        };
        let heartbeat = server.heartbeat(now);
        let late = self.random.random_bool(0.03);
        let delay = match late {
            true => self.random_delay(2_500),
            false => self.random_delay(2),
        };
        if self.trace {
            let holds = tracing::ranges(&heartbeat.holds);
            let sequence = heartbeat.sequence;
            println!(
                "{} server-{index} heartbeat {sequence} received in {delay:?} {holds}",
                self.now
            );
        }
        self.schedule(delay, SimEvent::HeartbeatReceived(index, heartbeat));
        let next = HEARTBEAT + self.random_delay(60);
        self.schedule(next, SimEvent::SendHeartbeat(index, started_ms));
    }

    fn answer_heartbeat(
        &mut self,
        index: usize,
        started_ms: u64,
        sequence: u64,
        answer: &HeartbeatAnswer,
    ) {
        let now = self.now;
        let work = self.random_delay(300);
        let Some(server) = self.nodes[index]
            .server
            .as_mut()
            .filter(|server| server.incarnation.started_ms == started_ms)
        else {
            return;
        };
        let releasing = server.handle_answer(now, sequence, answer, work);
        self.check(index);
        if releasing {
            let heartbeat = self.nodes[index]
                .server
                .as_mut()
                .map(|server| server.heartbeat(now));
            if let Some(heartbeat) = heartbeat {
                let delay = Duration::from_millis(60) + self.random_delay(40);
                self.schedule(delay, SimEvent::HeartbeatReceived(index, heartbeat));
            }
        }
    }

    /// Steps a node; a frozen one handles the event when it is resumed. Tells whether the event was handled.
    fn step(&mut self, index: usize, incarnation: u64, event: Event, deferred: SimEvent) -> bool {
        let host = &mut self.nodes[index];
        if host.incarnation != incarnation || host.machine.is_none() {
            return false;
        }
        if host.frozen {
            host.deferred.push(deferred);
            return false;
        }
        let heartbeat = match &event {
            Event::Server(ServerEvent::Heartbeat(heartbeat)) => {
                Some((heartbeat.incarnation.started_ms, heartbeat.sequence))
            }
            _ => None,
        };
        let Some(machine) = &mut host.machine else {
            return false;
        };
        let actions = machine.step(self.now, event);
        let due = machine.heartbeat_due().since(self.now);
        for action in actions {
            self.act(index, incarnation, heartbeat, action);
        }
        if due < TICK {
            self.schedule(due, SimEvent::HeartbeatDue(index, incarnation));
        }
        true
    }

    fn act(
        &mut self,
        index: usize,
        incarnation: u64,
        heartbeat: Option<(u64, u64)>,
        action: Action,
    ) {
        if self.trace {
            println!(
                "{} node-{index}@{incarnation} {heartbeat:?} {}",
                self.now,
                tracing::line(&action)
            );
        }
        match action {
            Action::Send(to, message) => self.send(index, to, &message),
            Action::ReadLeader => {
                let delay = self.random_delay(20);
                self.schedule(delay, SimEvent::ReadStore(index, incarnation, self.now));
            }
            Action::WriteLeader { topic_end, record } => {
                let delay = self.random_delay(20);
                self.schedule(
                    delay,
                    SimEvent::WriteStore(index, incarnation, topic_end, record),
                );
            }
            Action::AnswerHeartbeat(answer) => {
                let delay = self.random_delay(5);
                self.record_answer(index, heartbeat);
                if let Some((started_ms, sequence)) = heartbeat {
                    self.schedule(
                        delay,
                        SimEvent::HeartbeatAnswered(index, started_ms, sequence, answer),
                    );
                }
            }
            Action::CallServer(call) => {
                let delay = self.random_delay(5);
                self.schedule(
                    delay,
                    SimEvent::Call(index, incarnation, CallStage::Started(call)),
                );
            }
            Action::DelayAnswer(answer) => self.nodes[index].delayed.push(DelayedAnswer {
                incarnation,
                heartbeat,
                answer,
                since: self.now,
            }),
            Action::AcknowledgeDeparture => self.send_delayed_answers(index, incarnation),
            Action::Publish
            | Action::FetchIntent(_)
            | Action::ReadIntent { .. }
            | Action::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &PeerMessage) {
        let target = usize::from(to.port() - 1);
        if self.partitions.contains(&(from, target)) || self.random.random_bool(0.01) {
            return;
        }
        let copies = if self.random.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = match self.random.random_bool(self.plan.late_share) {
                true => self.random_delay(4_000),
                false => self.random_delay(3),
            };
            self.schedule(
                delay,
                SimEvent::MessageReceived(target, address(from), message.clone()),
            );
        }
    }
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index).unwrap() + 1;
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn service(index: usize) -> &'static str {
    if index.is_multiple_of(3) {
        OTHER
    } else {
        KEYED
    }
}

fn intent() -> OperatorsIntent {
    let settings = |keyed| ServiceSettings {
        health_path: "/health".to_owned(),
        connections: 100,
        cold_time: Duration::from_secs(3),
        cold_rate: Some(25.0),
        keyed,
        granting: None,
    };
    let mut config = RoutingConfig {
        version: 1,
        ..RoutingConfig::default()
    };
    config
        .services
        .insert(KEYED.parse().unwrap(), settings(true));
    config
        .services
        .insert(OTHER.parse().unwrap(), settings(false));
    OperatorsIntent {
        offset: 1,
        config: Some(Arc::new(config)),
        ..OperatorsIntent::default()
    }
}
