//! Setup of the control thread.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use http::StatusCode;
use quetzalrack_mesh::boundary::SharedStore;
use quetzalrack_mesh::model::HostSettings;
use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::ownership::LeaseTimes;
use quetzalrack_mesh::ownership::NodeMachine;
use quetzalrack_mesh::ownership::NodeProfile;
use quetzalrack_mesh::traffic::budget::BudgetPlan;
use quetzalrack_platform::request::READINESS_PATH;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use super::control_runner::ControlRunner;
use super::http_port::serve_port;
use super::intent_reader::IntentReader;
use super::key_calls::KeyCalls;
use super::peer_intent_client::PeerIntentClient;
use super::server_port::ServerPort;
use super::server_port::status;
use super::store_calls::StoreCalls;
use crate::budget::ProcessBudget;
use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;
use crate::shared::NodeView;

/// Settings of the control thread.
pub struct ControlSettings {
    /// The host.
    pub host: HostSettings,
    /// Description of the node that its heartbeats carry.
    pub profile: NodeProfile,
    /// Address on which datagrams of other nodes are received.
    pub peers: SocketAddr,
    /// The metadata store.
    pub store: Arc<dyn SharedStore>,
}

/// The control side of a node, which runs on the calling thread.
pub struct ControlNode {
    settings: ControlSettings,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
    shutdown: mpsc::UnboundedReceiver<()>,
}

impl ControlNode {
    /// Creates the control side of a node; a message on `shutdown` starts the graceful shutdown.
    pub fn new(
        settings: ControlSettings,
        board: Arc<Board>,
        metrics: Arc<Metrics>,
        shutdown: mpsc::UnboundedReceiver<()>,
    ) -> Self {
        Self {
            settings,
            board,
            metrics,
            shutdown,
        }
    }

    /// Runs until the process ends.
    pub fn run(self) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, self.serve())
    }

    async fn serve(self) -> io::Result<()> {
        let host = &self.settings.host;
        let socket = Rc::new(UdpSocket::bind(self.settings.peers).await?);
        let heartbeats = TcpListener::bind(host.listen.heartbeats).await?;
        let readiness = TcpListener::bind(host.listen.readiness).await?;
        let (sender, server_calls) = mpsc::unbounded_channel();
        let (events, incoming) = mpsc::unbounded_channel();
        let port = Rc::new(ServerPort {
            server_calls: sender,
            metrics: Arc::clone(&self.metrics),
        });
        tokio::task::spawn_local(serve_port(heartbeats, move |request| {
            Rc::clone(&port).answer(request)
        }));
        self.serve_readiness(readiness);
        let intent = Rc::new(RefCell::new(OperatorsIntent::default()));
        let reader = IntentReader {
            store: Arc::clone(&self.settings.store),
            events: events.clone(),
            metrics: Arc::clone(&self.metrics),
            intent: Rc::clone(&intent),
            store_unreachable: Rc::default(),
        };
        let http = reqwest::Client::builder().no_proxy().http1_only().build();
        let peers = PeerIntentClient {
            http: http.map_err(io::Error::other)?,
            events: events.clone(),
            intent,
        };
        let default_times = LeaseTimes::for_granting(host.granting, host.heartbeat);
        let times = LeaseTimes {
            max_hold: default_times.max_hold.min(host.bounds.max_hold),
            ..default_times
        };
        let plan = BudgetPlan::control(host.limits);
        let budget = ProcessBudget::new(plan, Arc::clone(&self.metrics));
        let runner = ControlRunner {
            machine: NodeMachine::new(clock::now(), self.settings.profile.clone(), times),
            calls: KeyCalls::new(times, events.clone(), Arc::clone(&self.metrics), budget),
            board: self.board,
            socket,
            store: StoreCalls {
                store: Arc::clone(&self.settings.store),
                events,
                metrics: Arc::clone(&self.metrics),
            },
            metrics: self.metrics,
            peers,
            reader,
            intent_read: None,
            intent_offset: None,
            view: NodeView::default(),
            unreachable_reported: false,
            leaving_reported: None,
            heartbeat: host.heartbeat,
            clock_offset: None,
            delayed_answers: Vec::new(),
        };
        runner.open_connections(host.server);
        runner.run(server_calls, incoming, self.shutdown).await;
        Ok(())
    }

    fn serve_readiness(&self, listener: TcpListener) {
        let board = Arc::clone(&self.board);
        tokio::task::spawn_local(serve_port(listener, move |request| {
            let view = board.view();
            let is_readiness = request.uri().path() == READINESS_PATH;
            // Ready means that a node for a client's request can be chosen now.
            let ready = view.routes.is_some()
                && !view.directory.members.is_empty()
                && !board.is_shutting_down();
            let status = match (is_readiness, ready) {
                (false, _) => status(StatusCode::NOT_FOUND),
                (true, false) => status(StatusCode::SERVICE_UNAVAILABLE),
                (true, true) => status(StatusCode::OK),
            };
            async move { status }
        }));
    }
}
