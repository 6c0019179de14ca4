//! Carrying out what the control machine decides.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::time::Moment;
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
use super::peer_intent::PeerIntent;
use super::server_port::ServerQuestion;
use super::store_calls::StoreCalls;
use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;
use crate::shared::NodeView;
use crate::shared::ServerView;

/// How often the machine looks at the time: a quarter of a beat.
const TICK: Duration = Duration::from_millis(100);
/// The largest datagram.
const DATAGRAM: usize = 65_507;
/// How many heartbeats of a backend server must be missing, beside a port that takes no
/// connections, until it counts as gone; a server that starts anew is heard by then.
const GONE_BEATS: f64 = 1.6;

/// Is the machine with everything that carries out its actions.
pub(super) struct Running {
    pub(super) machine: NodeMachine,
    pub(super) board: Arc<Board>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) socket: Rc<UdpSocket>,
    pub(super) store: StoreCalls,
    pub(super) peers: PeerIntent,
    pub(super) reader: IntentReader,
    /// The read of the operators' topic that is on its way.
    pub(super) reading: Option<AbortHandle>,
    pub(super) calls: KeyCalls,
    pub(super) intent_offset: Option<u64>,
    pub(super) view: NodeView,
    pub(super) gone_told: bool,
    pub(super) heartbeat: Duration,
}

impl Running {
    /// Runs until the process ends.
    pub(super) async fn run(
        mut self,
        mut asked: mpsc::UnboundedReceiver<ServerQuestion>,
        mut happened: mpsc::UnboundedReceiver<Event>,
        mut shutdown: mpsc::UnboundedReceiver<()>,
    ) {
        let mut buffer = vec![0; DATAGRAM];
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let socket = Rc::clone(&self.socket);
        loop {
            let due = self.machine.heartbeat_due().since(clock::now());
            tokio::select! {
                received = socket.recv_from(&mut buffer) => {
                    if let Ok((length, from)) = received {
                        self.take(from, buffer.get(..length).unwrap_or_default());
                    }
                }
                Some((word, answer)) = asked.recv() => self.hear(word, answer),
                Some(event) = happened.recv() => self.step(event, None),
                Some(()) = shutdown.recv() => {
                    self.view.leaving = true;
                    self.step(Event::Shutdown, None);
                }
                _ = tick.tick() => self.tick(),
                () = tokio::time::sleep(due) => self.step(Event::Tick, None),
            }
        }
    }

    fn take(&mut self, from: SocketAddr, bytes: &[u8]) {
        match PeerMessage::decode(bytes) {
            Ok(message) => self.step(Event::Message(from, message), None),
            Err(error) => {
                self.metrics.unreadable("datagram");
                log::warn!(event = "datagram_unreadable", from:% = from; "{error}");
            }
        }
    }

    fn hear(&mut self, word: ServerEvent, answer: oneshot::Sender<HeartbeatAnswer>) {
        if let ServerEvent::Leaving(id) = &word {
            log::info!(event = "server_leaves", server:% = id; "");
        }
        self.gone_told = false;
        self.step(Event::Server(word), Some(answer));
        if let Some(server) = self.machine.server() {
            self.warm(server.address);
        }
    }

    /// Opens connections for calls about keys, if the server is called.
    pub(super) fn warm(&self, server: SocketAddr) {
        if self.machine.grants_by_call() {
            tokio::task::spawn_local(self.calls.clone().warm(server));
        }
    }

    fn tick(&mut self) {
        let report = self.board.report();
        self.step(Event::Load(report.load, report.key_loads.clone()), None);
        if report.server_gone && !self.gone_told && self.server_is_silent() {
            self.gone_told = true;
            log::warn!(event = "server_gone", why = "its port refuses connections"; "");
            self.step(Event::Server(ServerEvent::Unreachable), None);
        }
        if let Some(neighbour) = self.board.take_neighbour() {
            self.step(Event::IntentSource(neighbour), None);
        }
        self.step(Event::Tick, None);
    }

    fn server_is_silent(&self) -> bool {
        let heard = self.machine.server_heartbeat_at();
        heard.is_some_and(|at| clock::now().since(at) >= self.heartbeat.mul_f64(GONE_BEATS))
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
                Action::AnswerHeartbeat(said) => {
                    // The view goes first: a server that holds keys is sent their requests, and
                    // one that is told to release them is not.
                    self.publish(now);
                    if let Some(answer) = answer.take() {
                        // A server that has hung up asks again.
                        answer.send(said).ok();
                    }
                }
                // It is spawned, and so begins after the view that follows from this step is published.
                Action::CallServer(call) => {
                    tokio::task::spawn_local(self.calls.clone().run(call));
                }
                Action::Publish => changed = true,
                Action::ReadIntent { wait } => {
                    let read = tokio::task::spawn_local(self.reader.clone().read(wait));
                    // Its connection is closed with it.
                    self.reading
                        .replace(read.abort_handle())
                        .inspect(AbortHandle::abort);
                }
                Action::FetchIntent(from) => {
                    tokio::task::spawn_local(self.peers.clone().fetch(from));
                }
                Action::Log(note) => log::info!(
                    event = note.event, epoch = note.epoch.0, detail = note.detail,
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
            // A datagram that can't be sent is a lost one, and those are expected.
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
        self.view.directory = Arc::new(self.machine.directory().clone());
        self.view.server = self.machine.server().map(|server| ServerView {
            life: server.incarnation.clone(),
            address: server.address,
            slots: server.slots as usize,
            draining: server.draining,
            heard_at: self.machine.server_heartbeat_at().unwrap_or_default(),
            cold_until: self.machine.cold_until(),
            serving: self.machine.serving(now),
        });
        self.board.publish(self.view.clone());
    }
}
