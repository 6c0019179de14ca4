//! Event loop that runs the control machine and executes its actions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::ownership::Action;
use quetzalrack_mesh::ownership::Event;
use quetzalrack_mesh::ownership::HeartbeatAnswer;
use quetzalrack_mesh::ownership::NodeMachine;
use quetzalrack_mesh::ownership::PeerMessage;
use quetzalrack_mesh::ownership::ServerEvent;
use quetzalrack_mesh::routing::RouteTable;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::intent_reader::IntentReader;
use super::key_calls::KeyCalls;
use super::peer_intent_client::PeerIntentClient;
use super::server_port::PendingServerCall;
use super::store_calls::StoreCalls;
use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;
use crate::shared::NodeView;
use crate::shared::ServerView;

/// Interval of the machine's ticks: a quarter of a heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Heartbeat intervals without a heartbeat after which a backend server whose port refuses
/// connections counts as unreachable; a restarted server sends a heartbeat before that.
const UNREACHABLE_HEARTBEATS: f64 = 1.6;

/// Difference between two readings of the clocks from which on the time of day counts as set.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(20);
/// Time that reading both clocks may take; a thread that was suspended in between reads them again later.
const MAX_CLOCK_READ: Duration = Duration::from_millis(5);

/// Runs the control machine and executes its actions.
pub(super) struct ControlRunner {
    pub(super) machine: NodeMachine,
    pub(super) board: Arc<Board>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) socket: Rc<UdpSocket>,
    pub(super) store: StoreCalls,
    pub(super) peers: PeerIntentClient,
    pub(super) reader: IntentReader,
    /// The read of the operators' topic in progress.
    pub(super) intent_read: Option<AbortHandle>,
    pub(super) calls: KeyCalls,
    pub(super) intent_offset: Option<u64>,
    pub(super) view: NodeView,
    pub(super) unreachable_reported: bool,
    /// The incarnation of the server that was last reported as leaving.
    pub(super) leaving_reported: Option<ServerIncarnation>,
    pub(super) heartbeat: Duration,
    /// The time of day less the time since the host's start, as the machine was last told.
    pub(super) clock_offset: Option<Duration>,
    /// Answers to calls of the server that wait until its departure is acknowledged.
    pub(super) delayed_answers: Vec<(HeartbeatAnswer, oneshot::Sender<HeartbeatAnswer>)>,
}

impl ControlRunner {
    /// Runs until the process ends.
    pub(super) async fn run(
        mut self,
        mut server_calls: mpsc::UnboundedReceiver<PendingServerCall>,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut shutdown: mpsc::UnboundedReceiver<()>,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let socket = Rc::clone(&self.socket);
        loop {
            let due = self.machine.heartbeat_due().since(clock::now());
            tokio::select! {
                received = socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.handle_datagram(from, buffer.get(..length).unwrap_or_default());
                    }
                }
                Some((event, answer)) = server_calls.recv() => self.handle_call(event, answer),
                Some(event) = events.recv() => self.step(event, None),
                Some(()) = shutdown.recv() => {
                    self.view.shutting_down = true;
                    self.step(Event::Shutdown, None);
                }
                _ = tick.tick() => self.tick(),
                () = tokio::time::sleep(due) => self.step(Event::Tick, None),
            }
        }
    }

    fn handle_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        match PeerMessage::decode(bytes) {
            Ok(message) => self.step(Event::Message(from, message), None),
            Err(error) => {
                self.metrics.unreadable("datagram");
                log::warn!(event = "datagram_unreadable", from:% = from; "{error}");
            }
        }
    }

    fn handle_call(&mut self, event: ServerEvent, answer: oneshot::Sender<HeartbeatAnswer>) {
        self.unreachable_reported = false;
        self.read_clock();
        if let ServerEvent::Leaving { id, started_ms } = &event {
            let started_ms = started_ms.unwrap_or_default();
            log::info!(event = "server_leaves", server:% = id, started_ms = started_ms; "");
        }
        self.step(Event::Server(event), Some(answer));
        if let Some(server) = self.machine.server() {
            self.open_connections(server.address);
        }
    }

    /// Tells the machine the time of day if it was set.
    fn read_clock(&mut self) {
        let (now, time_of_day) = (clock::now(), clock::time_of_day());
        if clock::now().since(now) >= MAX_CLOCK_READ {
            return;
        }
        let offset = time_of_day.saturating_sub(Duration::from_nanos(now.0));
        let is_unchanged = self
            .clock_offset
            .is_some_and(|known| known.abs_diff(offset) < CLOCK_TOLERANCE);
        if !is_unchanged {
            self.clock_offset = Some(offset);
            let unix_ms = u64::try_from(time_of_day.as_millis()).unwrap_or(u64::MAX);
            self.step(Event::HostClock(unix_ms), None);
        }
    }

    /// Keeps an answer until the server's departure is acknowledged.
    fn delay_answer(
        &mut self,
        answer: HeartbeatAnswer,
        sender: Option<oneshot::Sender<HeartbeatAnswer>>,
    ) {
        self.delayed_answers
            .retain(|(_, earlier)| !earlier.is_closed());
        self.delayed_answers
            .extend(sender.map(|sender| (answer, sender)));
    }

    fn acknowledge_departure(&mut self) {
        log::info!(event = "departure_acknowledged", answers = self.delayed_answers.len(); "");
        for (answer, sender) in self.delayed_answers.drain(..) {
            // A server that closed the connection repeats the call.
            sender.send(answer).ok();
        }
    }

    /// Opens connections for calls about keys, if keys are granted by calls.
    pub(super) fn open_connections(&self, server: SocketAddr) {
        if self.machine.grants_by_call() {
            tokio::task::spawn_local(self.calls.clone().open_connections(server));
        }
    }

    fn tick(&mut self) {
        self.read_clock();
        let report = self.board.report();
        self.step(Event::Load(report.load, report.key_loads.clone()), None);
        if report.server_gone && !self.unreachable_reported && self.server_is_silent() {
            self.unreachable_reported = true;
            log::warn!(event = "server_gone", why = "its port refuses connections"; "");
            self.step(Event::Server(ServerEvent::Unreachable), None);
        }
        if report.server_leaving != self.leaving_reported {
            self.leaving_reported = report.server_leaving.clone();
            if let Some(incarnation) = report.server_leaving.clone() {
                self.step(Event::Server(ServerEvent::Draining(incarnation)), None);
            }
        }
        if let Some(source) = self.board.take_intent_source() {
            self.step(Event::IntentSource(source), None);
        }
        self.step(Event::Tick, None);
    }

    fn server_is_silent(&self) -> bool {
        let heartbeat_at = self.machine.server_heartbeat_at();
        heartbeat_at.is_some_and(|at| {
            clock::now().since(at) >= self.heartbeat.mul_f64(UNREACHABLE_HEARTBEATS)
        })
    }

    fn step(&mut self, event: Event, answer: Option<oneshot::Sender<HeartbeatAnswer>>) {
        let now = clock::now();
        let mut answer = answer;
        let mut changed = matches!(event, Event::Intent(_) | Event::Shutdown);
        for action in self.machine.step(now, event) {
            match action {
                Action::Send(to, message) => self.send(to, &message),
                Action::ReadLeader => {
                    tokio::task::spawn_local(self.store.clone().read());
                }
                Action::WriteLeader { topic_end, record } => {
                    tokio::task::spawn_local(self.store.clone().write(topic_end, record));
                }
                Action::AnswerHeartbeat(heartbeat_answer) => {
                    // The view is published before the answer: traffic then sends requests to a server
                    // that holds their keys and none to one that is told to release them.
                    self.publish(now);
                    if let Some(answer) = answer.take() {
                        // A server that closed the connection sends another heartbeat.
                        answer.send(heartbeat_answer).ok();
                    }
                }
                Action::DelayAnswer(heartbeat_answer) => {
                    self.delay_answer(heartbeat_answer, answer.take());
                }
                Action::AcknowledgeDeparture => {
                    self.publish(now);
                    self.acknowledge_departure();
                }
                // The spawned call starts only after the view that results from this step is published.
                Action::CallServer(call) => {
                    tokio::task::spawn_local(self.calls.clone().run(call));
                }
                Action::Publish => changed = true,
                Action::ReadIntent { wait } => {
                    let read = tokio::task::spawn_local(self.reader.clone().read(wait));
                    // Aborting the previous read closes its connection.
                    self.intent_read
                        .replace(read.abort_handle())
                        .inspect(AbortHandle::abort);
                }
                Action::FetchIntent(from) => {
                    tokio::task::spawn_local(self.peers.clone().fetch(from));
                }
                Action::Log(entry) => log::info!(
                    event = entry.event, epoch = entry.epoch.0, detail = entry.detail,
                    intent = self.machine.intent().offset; ""
                ),
            }
        }
        if changed {
            self.publish(now);
        }
    }

    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        match message.encode() {
            // A failed send counts as a lost datagram, and the protocol tolerates losses.
            Ok(bytes) => drop(self.socket.try_send_to(&bytes, to)),
            Err(error) => log::error!(event = "datagram_not_written"; "{error}"),
        }
    }

    fn publish(&mut self, now: Moment) {
        let intent = self.machine.intent();
        if self.intent_offset != Some(intent.offset) {
            self.intent_offset = Some(intent.offset);
            let routes = intent.config.as_ref().map(|config| RouteTable::new(config));
            self.view.routes = routes.map(Arc::new);
            self.view.intent = Arc::new(intent.clone());
        }
        self.view.confirmed = self.machine.intent_confirmed();
        self.view.voters = self.machine.early_voters();
        self.view.members_confirmed = self.machine.members_confirmed();
        self.view.directory = Arc::new(self.machine.directory().clone());
        self.view.server = self.machine.server().map(|server| ServerView {
            incarnation: server.incarnation.clone(),
            address: server.address,
            slots: server.slots as usize,
            draining: self.machine.is_server_draining(),
            ran_before: self.machine.server_ran_before(),
            heartbeat_at: self.machine.server_heartbeat_at().unwrap_or_default(),
            cold_until: self.machine.cold_until(),
            serving: self.machine.serving(now),
        });
        self.board.publish(self.view.clone());
    }
}
