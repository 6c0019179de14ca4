//! The fleet.

mod calls;
mod checks;
mod troubles;

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

use super::Trouble;
use super::fake_server::FakeServer;
use super::fake_store::FakeStore;
use super::tracing;
use calls::CallStage;

/// The service that is divided by key.
const KEYED: &str = "keyed";
const OTHER: &str = "other";
const HEARTBEAT: Duration = Duration::from_millis(870);
/// The last part of a schedule, long after its last trouble.
const LATELY: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_millis(100);

/// Says what a schedule is like.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// The share of datagrams that come up to four seconds late.
    pub late: f64,
    pub seed: u64,
    /// How servers are granted keys.
    pub granting: Granting,
    pub nodes: usize,
    pub trouble: Trouble,
    /// How long troubles come.
    pub troubled: Duration,
    /// How long the fleet is left alone after that.
    pub calm: Duration,
}

/// Is a whole fleet.
pub struct Fleet {
    plan: FleetPlan,
    random: ChaCha8Rng,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    happenings: Vec<Option<Happening>>,
    nodes: Vec<Host>,
    store: FakeStore,
    store_down: bool,
    store_cut: BTreeSet<usize>,
    store_lossy: bool,
    cuts: BTreeSet<(usize, usize)>,
    highest: BTreeMap<u16, u64>,
    /// The most keys that had an owner at once in the last seconds: a late heartbeat costs a server
    /// its keys for a moment, so one look at the very end would tell little.
    pub lately: u32,
    /// Time without an owner, summed over samples, in thousandths of the keys.
    pub unowned: u64,
    pub grants: u64,
    pub problem: Option<String>,
    /// Whether each step is printed, for the cause of a failure.
    traced: bool,
}

struct Host {
    name: NodeName,
    machine: Option<NodeMachine>,
    life: u64,
    frozen: bool,
    held_up: Vec<Happening>,
    server: Option<FakeServer>,
    /// Distinguishes the timers of different server lives.
    gone: bool,
}

#[derive(Clone, Debug)]
enum Happening {
    Tick(usize, u64),
    Beat(usize, u64),
    Datagram(usize, SocketAddr, PeerMessage),
    Heartbeat(usize, u64),
    Heard(usize, ServerHeartbeat),
    Answered(usize, u64, u64, HeartbeatAnswer),
    Call(usize, u64, CallStage),
    StoreRead(usize, u64, Moment),
    StoreWrite(usize, u64, u64, LeaderRecord),
    ReadDone(usize, u64, Moment, LeaderRead),
    WriteDone(usize, u64, AppendOutcome),
    StoreGoes,
    LeaderLeaves,
    LeaderLost,
    Leave(usize, u64),
    Gone(usize, u64),
    StartNode(usize),
    StartServer(usize),
    Trouble,
    Heal(Cure),
}

#[derive(Clone, Debug)]
enum Cure {
    Thaw(usize),
    Link(usize, usize),
    Store,
    StoreFor(usize),
    StoreAnswers,
}

impl Fleet {
    pub fn new(plan: FleetPlan) -> Self {
        let nodes = (0..plan.nodes).map(|place| Host {
            name: format!("node-{place}").parse().unwrap(),
            machine: None,
            life: 0,
            frozen: false,
            held_up: Vec::new(),
            server: None,
            gone: false,
        });
        let mut fleet = Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            now: Moment(1_000_000_000),
            queue: BinaryHeap::new(),
            happenings: Vec::new(),
            nodes: nodes.collect(),
            store: FakeStore::default(),
            store_down: false,
            store_cut: BTreeSet::new(),
            store_lossy: false,
            cuts: BTreeSet::new(),
            highest: BTreeMap::new(),
            lately: 0,
            unowned: 0,
            grants: 0,
            problem: None,
            traced: std::env::var_os("QUETZALRACK_TRACE").is_some(),
            plan,
        };
        for place in 0..plan.nodes {
            let delay = fleet.spread(300);
            fleet.after(delay, Happening::StartServer(place));
            let delay = fleet.spread(300);
            fleet.after(delay, Happening::StartNode(place));
        }
        if plan.trouble != Trouble::Calm {
            let delay = Duration::from_secs(6) + fleet.spread(2_000);
            fleet.after(delay, Happening::Trouble);
        }
        fleet
    }

    /// Takes the store away for everyone at a time from the start, for a while.
    pub fn lose_store(&mut self, at: Duration, span: Duration) {
        self.after(at, Happening::StoreGoes);
        self.after(at + span, Happening::Heal(Cure::Store));
    }

    /// Tells the leader's process to leave.
    pub fn leave_leader(&mut self, at: Duration) {
        self.after(at, Happening::LeaderLeaves);
    }

    /// Takes the leader's host and its server away for good.
    pub fn lose_leader(&mut self, at: Duration) {
        self.after(at, Happening::LeaderLost);
    }

    /// Plays the schedule.
    pub fn play(&mut self) {
        let end = self.now + self.plan.troubled + self.plan.calm;
        let mut sampled = self.now;
        while let Some(Reverse((at, _, place))) = self.queue.pop() {
            if at > end || self.problem.is_some() {
                break;
            }
            self.now = at;
            if let Some(happening) = self.happenings[place].take() {
                self.happen(happening);
            }
            if self.now.since(sampled) >= Duration::from_millis(100) {
                sampled = self.now;
                let owned = self.owned();
                self.unowned += u64::from(65_536_u32.saturating_sub(owned)) * 1_000 / 65_536;
                if end.since(self.now) < LATELY {
                    self.lately = self.lately.max(owned);
                }
            }
        }
    }

    /// Returns how many pairs of nodes have the same version of a table, and which node, if any, has
    /// another table than one with the same version.
    pub fn compare_tables(&self) -> (u32, Option<String>) {
        let running = self.nodes.iter().filter_map(|host| host.machine.as_ref());
        let tables: Vec<&Directory> = running.map(NodeMachine::directory).collect();
        let mut compared = 0;
        for (place, one) in tables.iter().enumerate() {
            for other in &tables[place + 1..] {
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

    /// Returns how many keys have an owner now.
    pub fn owned(&mut self) -> u32 {
        let now = self.now;
        let mut owned = 0;
        for host in &mut self.nodes {
            if let Some(server) = &mut host.server {
                server.age(now);
                owned += server
                    .holdings
                    .iter()
                    .map(|holding| holding.held.keys.size())
                    .sum::<u32>();
            }
        }
        owned
    }

    fn spread(&mut self, most_ms: u64) -> Duration {
        Duration::from_micros(self.random.random_range(0..=most_ms * 1_000))
    }

    fn after(&mut self, delay: Duration, happening: Happening) {
        let place = self.happenings.len();
        self.happenings.push(Some(happening));
        self.queue
            .push(Reverse((self.now + delay, place as u64, place)));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::StoreGoes => self.store_down = true,
            Happening::LeaderLeaves => {
                if let Some(place) = self.leader() {
                    self.strike(Trouble::Leaves, place);
                }
            }
            Happening::LeaderLost => {
                if let Some(place) = self.leader() {
                    let host = &mut self.nodes[place];
                    host.machine = None;
                    host.held_up.clear();
                    host.server = None;
                    host.gone = true;
                }
            }
            Happening::Leave(place, life) => {
                self.step(place, life, Event::Shutdown, Happening::Leave(place, life));
            }
            Happening::Gone(place, life) => {
                if self.nodes[place].life == life && self.nodes[place].machine.take().is_some() {
                    self.nodes[place].held_up.clear();
                    let delay = Duration::from_millis(100) + self.spread(1_000);
                    self.after(delay, Happening::StartNode(place));
                }
            }
            Happening::StartNode(place) => self.start_node(place),
            Happening::StartServer(place) => self.start_server(place),
            Happening::Tick(place, life) => {
                if self.step(place, life, Event::Tick, Happening::Tick(place, life)) {
                    self.after(TICK, Happening::Tick(place, life));
                }
            }
            Happening::Beat(place, life) => {
                self.step(place, life, Event::Tick, Happening::Beat(place, life));
            }
            Happening::Datagram(place, from, message) => {
                let life = self.nodes[place].life;
                let again = Happening::Datagram(place, from, message.clone());
                self.step(place, life, Event::Message(from, message), again);
            }
            Happening::Heartbeat(place, born) => self.heartbeat(place, born),
            Happening::Heard(place, heartbeat) => {
                let life = self.nodes[place].life;
                let again = Happening::Heard(place, heartbeat.clone());
                let event = Event::Server(ServerEvent::Heartbeat(heartbeat));
                self.step(place, life, event, again);
            }
            Happening::Answered(place, born, sequence, answer) => {
                self.answered(place, born, sequence, &answer);
            }
            Happening::Call(place, life, stage) => self.call(place, life, stage),
            Happening::StoreRead(place, life, asked) => {
                let read = match self.reaches_store(place) {
                    true => self.store.newest(),
                    false => LeaderRead::Unavailable,
                };
                let delay = self.spread(20);
                self.after(delay, Happening::ReadDone(place, life, asked, read));
            }
            Happening::StoreWrite(place, life, end, record) => self.write(place, life, end, record),
            Happening::ReadDone(place, life, asked, read) => {
                let again = Happening::ReadDone(place, life, asked, read.clone());
                self.step(place, life, Event::LeaderRead(asked, read), again);
            }
            Happening::WriteDone(place, life, outcome) => {
                let again = Happening::WriteDone(place, life, outcome);
                self.step(place, life, Event::LeaderWritten(outcome), again);
            }
            Happening::Trouble => self.trouble(),
            Happening::Heal(cure) => self.heal(cure),
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |host: &Host| host.machine.as_ref().is_some_and(NodeMachine::is_leader);
        self.nodes.iter().position(leads)
    }

    fn write(&mut self, place: usize, life: u64, end: u64, record: LeaderRecord) {
        if !self.reaches_store(place) {
            let outcome = match self.random.random_bool(0.5) {
                true => AppendOutcome::Refused,
                false => AppendOutcome::Unknown,
            };
            let delay = self.spread(500);
            self.after(delay, Happening::WriteDone(place, life, outcome));
            return;
        }
        if self.store_lossy && self.random.random_bool(0.5) {
            // Done now or seconds later, and not answered.
            if self.random.random_bool(0.5) {
                self.store.append(end, record);
            } else {
                let delay = Duration::from_secs(1) + self.spread(4_000);
                self.after(delay, Happening::StoreWrite(place, u64::MAX, end, record));
            }
            let delay = Duration::from_millis(1_500);
            self.after(
                delay,
                Happening::WriteDone(place, life, AppendOutcome::Unknown),
            );
            return;
        }
        let outcome = self.store.append(end, record);
        let delay = self.spread(20);
        self.after(delay, Happening::WriteDone(place, life, outcome));
    }

    fn reaches_store(&self, place: usize) -> bool {
        !self.store_down && !self.store_cut.contains(&place)
    }

    fn start_node(&mut self, place: usize) {
        let host = &mut self.nodes[place];
        if host.gone || host.machine.is_some() {
            return;
        }
        host.life += 1;
        let life = host.life;
        let profile = NodeProfile {
            incarnation: NodeIncarnation {
                node: host.name.clone(),
                nonce: life,
            },
            zone: format!("zone-{}", place % 4).parse().unwrap(),
            control: address(place),
            traffic: address(place),
            service: service(place).parse().unwrap(),
            heartbeat: HEARTBEAT,
            granting: self.plan.granting,
            narrow_link: place % 3 == 2,
            seed: self.random.random(),
        };
        let mut machine = NodeMachine::new(
            self.now,
            profile,
            LeaseTimes::for_granting(self.plan.granting, HEARTBEAT),
        );
        machine.step(self.now, Event::Intent(intent()));
        self.nodes[place].machine = Some(machine);
        let delay = self.spread(100);
        self.after(delay, Happening::Tick(place, life));
    }

    fn start_server(&mut self, place: usize) {
        let host = &mut self.nodes[place];
        if host.gone || host.server.is_some() {
            return;
        }
        let born = self.now.0 / 1_000_000;
        host.server = Some(FakeServer::new(
            &format!("server-{place}"),
            born,
            service(place),
        ));
        let delay = self.spread(300);
        self.after(delay, Happening::Heartbeat(place, born));
    }

    fn heartbeat(&mut self, place: usize, born: u64) {
        let now = self.now;
        let Some(server) = self.nodes[place]
            .server
            .as_mut()
            .filter(|server| server.life.started_ms == born)
        else {
            return;
        };
        let heartbeat = server.heartbeat(now);
        let late = self.random.random_bool(0.03);
        let delay = match late {
            true => self.spread(2_500),
            false => self.spread(2),
        };
        if self.traced {
            let holds = tracing::ranges(&heartbeat.holds);
            let sequence = heartbeat.sequence;
            println!(
                "{} server-{place} beat {sequence} heard in {delay:?} {holds}",
                self.now
            );
        }
        self.after(delay, Happening::Heard(place, heartbeat));
        let next = HEARTBEAT + self.spread(60);
        self.after(next, Happening::Heartbeat(place, born));
    }

    fn answered(&mut self, place: usize, born: u64, sequence: u64, answer: &HeartbeatAnswer) {
        let now = self.now;
        let work = self.spread(300);
        let Some(server) = self.nodes[place]
            .server
            .as_mut()
            .filter(|server| server.life.started_ms == born)
        else {
            return;
        };
        let releasing = server.answer(now, sequence, answer, work);
        self.check(place);
        if releasing {
            let heartbeat = self.nodes[place]
                .server
                .as_mut()
                .map(|server| server.heartbeat(now));
            if let Some(heartbeat) = heartbeat {
                let delay = Duration::from_millis(60) + self.spread(40);
                self.after(delay, Happening::Heard(place, heartbeat));
            }
        }
    }

    /// Steps a node; a frozen one takes it up when it thaws. Tells whether the node still lives.
    fn step(&mut self, place: usize, life: u64, event: Event, again: Happening) -> bool {
        let host = &mut self.nodes[place];
        if host.life != life || host.machine.is_none() {
            return false;
        }
        if host.frozen {
            host.held_up.push(again);
            return false;
        }
        let heard = match &event {
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
            self.act(place, life, heard, action);
        }
        if due < TICK {
            self.after(due, Happening::Beat(place, life));
        }
        true
    }

    fn act(&mut self, place: usize, life: u64, heard: Option<(u64, u64)>, action: Action) {
        if self.traced {
            println!(
                "{} node-{place}@{life} {heard:?} {}",
                self.now,
                tracing::line(&action)
            );
        }
        match action {
            Action::Send(to, message) => self.send(place, to, &message),
            Action::ReadLeader => {
                let delay = self.spread(20);
                self.after(delay, Happening::StoreRead(place, life, self.now));
            }
            Action::WriteLeader { topic_end, record } => {
                let delay = self.spread(20);
                self.after(delay, Happening::StoreWrite(place, life, topic_end, record));
            }
            Action::AnswerHeartbeat(answer) => {
                let delay = self.spread(5);
                if let Some((born, sequence)) = heard {
                    self.after(delay, Happening::Answered(place, born, sequence, answer));
                }
            }
            Action::CallServer(call) => {
                let delay = self.spread(5);
                self.after(delay, Happening::Call(place, life, CallStage::Begun(call)));
            }
            Action::Publish
            | Action::FetchIntent(_)
            | Action::ReadIntent { .. }
            | Action::Log(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &PeerMessage) {
        let target = usize::from(to.port() - 1);
        if self.cuts.contains(&(from, target)) || self.random.random_bool(0.01) {
            return;
        }
        let copies = if self.random.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = match self.random.random_bool(self.plan.late) {
                true => self.spread(4_000),
                false => self.spread(3),
            };
            self.after(
                delay,
                Happening::Datagram(target, address(from), message.clone()),
            );
        }
    }
}

fn address(place: usize) -> SocketAddr {
    let port = u16::try_from(place).unwrap() + 1;
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn service(place: usize) -> &'static str {
    if place.is_multiple_of(3) {
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
