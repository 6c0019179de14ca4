//! The loop around the control machine.

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
use quetzalrack_platform::request::READINESS_PATH;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use super::http_port::serve_port;
use super::intent_reader::IntentReader;
use super::key_calls::KeyCalls;
use super::peer_intent::PeerIntent;
use super::running::Running;
use super::server_port::ServerPort;
use super::server_port::status;
use super::store_calls::StoreCalls;
use crate::clock;
use crate::metrics::Metrics;
use crate::shared::Board;
use crate::shared::NodeView;

/// Is what the control thread needs.
pub struct ControlSettings {
    /// The host.
    pub host: HostSettings,
    /// What the node says of itself.
    pub profile: NodeProfile,
    /// Where other nodes' datagrams come.
    pub peers: SocketAddr,
    /// The metadata store.
    pub store: Arc<dyn SharedStore>,
}

/// Runs the control machine on the thread that runs this.
pub struct ControlNode {
    settings: ControlSettings,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
    shutdown: mpsc::UnboundedReceiver<()>,
}

impl ControlNode {
    /// Makes the control side of a node; a message on `shutdown` tells it that the process leaves.
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
        let (questions, asked) = mpsc::unbounded_channel();
        let (events, happened) = mpsc::unbounded_channel();
        let port = Rc::new(ServerPort {
            questions,
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
            away: Rc::default(),
        };
        let http = reqwest::Client::builder().no_proxy().http1_only().build();
        let peers = PeerIntent {
            http: http.map_err(io::Error::other)?,
            events: events.clone(),
            intent,
        };
        let usual = LeaseTimes::for_granting(host.granting, host.heartbeat);
        let times = LeaseTimes {
            max_hold: usual.max_hold.min(host.bounds.hold),
            ..usual
        };
        let running = Running {
            machine: NodeMachine::new(clock::now(), self.settings.profile.clone(), times),
            calls: KeyCalls::new(times, events.clone(), Arc::clone(&self.metrics)),
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
            reading: None,
            intent_offset: None,
            view: NodeView::default(),
            gone_told: false,
            heartbeat: host.heartbeat,
        };
        running.warm(host.server);
        running.run(asked, happened, self.shutdown).await;
        Ok(())
    }

    fn serve_readiness(&self, listener: TcpListener) {
        let board = Arc::clone(&self.board);
        tokio::task::spawn_local(serve_port(listener, move |request| {
            let view = board.view();
            let known = request.uri().path() == READINESS_PATH;
            // Ready means that a client's request can be placed now.
            let ready =
                view.routes.is_some() && !view.directory.members.is_empty() && !board.is_leaving();
            let status = match (known, ready) {
                (false, _) => status(StatusCode::NOT_FOUND),
                (true, false) => status(StatusCode::SERVICE_UNAVAILABLE),
                (true, true) => status(StatusCode::OK),
            };
            async move { status }
        }));
    }
}
