//! The thread that carries traffic.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::HostSettings;
use tokio::sync::watch;
use tokio::task::LocalSet;

use super::egress::Egress;
use super::hop::HopServer;
use super::ingress::ClientPort;
use super::ingress::Ingress;
use super::wire::ActiveCounter;
use super::wire::LinkPacer;
use super::wire::listen;
use crate::clock;
use crate::metrics::Metrics;
use crate::metrics::serve_metrics;
use crate::shared::Board;

/// How often the load is counted for the control thread, which sends it on with its beats.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// How long clients still come after SIGTERM: the platform asks once a second and takes two misses.
pub(super) const CLIENT_DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// How long other nodes still send jobs after that; they learn within a beat that this one leaves.
const PEER_DRAIN_TIME: Duration = Duration::from_millis(500);
/// How much of the time until SIGKILL is left unused.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);
/// How often a leaving process looks whether its work is done.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Is what the traffic thread needs.
pub struct TrafficSettings {
    /// The host.
    pub host: HostSettings,
    /// Where other nodes send jobs.
    pub peers: SocketAddr,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Seeds choices.
    pub seed: u64,
}

/// Carries traffic on the thread that runs it.
pub struct TrafficNode {
    settings: TrafficSettings,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
}

impl TrafficNode {
    /// Makes the traffic side of a node.
    pub fn new(settings: TrafficSettings, board: Arc<Board>, metrics: Arc<Metrics>) -> Self {
        Self {
            settings,
            board,
            metrics,
        }
    }

    /// Serves until the process was told to leave and its work is done.
    pub fn run(self) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        LocalSet::new().block_on(&runtime, self.serve())
    }

    async fn serve(self) -> io::Result<()> {
        let host = &self.settings.host;
        let clients = listen(host.listen.clients)?;
        let peers = listen(self.settings.peers)?;
        log::info!(event = "traffic_begins", clients:% = host.listen.clients, peers:% = self.settings.peers; "");
        if let Some(address) = self.settings.metrics {
            match listen(address) {
                Ok(listener) => drop(tokio::task::spawn_local(serve_metrics(
                    listener,
                    Arc::clone(&self.metrics),
                ))),
                // A node without its page serves all the same.
                Err(error) => log::error!(event = "no_metrics_page"; "{error}"),
            }
        }
        let pacer = host.link.map(LinkPacer::spawn);
        let egress = Egress::new(
            Arc::clone(&self.board),
            Arc::clone(&self.metrics),
            host.service.clone(),
            host.zone.clone(),
            host.bounds,
            host.link,
        );
        let ingress = Ingress::new(
            host.clone(),
            Arc::clone(&self.board),
            Arc::clone(&self.metrics),
            Rc::clone(&egress),
            pacer.clone(),
            self.settings.seed,
        );
        let (close_clients, clients_closing) = watch::channel(false);
        let (close_peers, peers_closing) = watch::channel(false);
        let (stop_accepting, accepting_stopped) = watch::channel(false);
        let shutdown = Shutdown {
            egress: Rc::clone(&egress),
            ingress: Rc::clone(&ingress),
            close_clients,
            stop_accepting,
            client_connections: ActiveCounter::default(),
            close_peers,
            peer_connections: ActiveCounter::default(),
        };
        let port = ClientPort {
            ingress: Rc::clone(&ingress),
            board: Arc::clone(&self.board),
            closing: clients_closing,
            pacer: pacer.clone(),
            connections: shutdown.client_connections.clone(),
        };
        tokio::task::spawn_local(port.run(clients, accepting_stopped));
        let hop_server = HopServer {
            egress: Rc::clone(&egress),
            board: Arc::clone(&self.board),
            pacer,
            connections: shutdown.peer_connections.clone(),
            closing: peers_closing,
        };
        tokio::task::spawn_local(hop_server.run(peers));
        while !self.board.is_leaving() {
            self.board.set_report(egress.report());
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
        self.shut_down(&shutdown).await;
        Ok(())
    }

    /// Finishes everything: clients go first, then other nodes, and nothing is cut.
    async fn shut_down(&self, shutdown: &Shutdown) {
        let since = clock::now();
        let end = since
            + self
                .settings
                .host
                .bounds
                .grace
                .saturating_sub(SHUTDOWN_MARGIN);
        wait_until(since + CLIENT_DRAIN_TIME).await;
        // Nobody listens if every connection has ended.
        shutdown.close_clients.send(true).ok();
        wait_until(since + CLIENT_DRAIN_TIME + PEER_DRAIN_TIME).await;
        shutdown.egress.close();
        while clock::now() < end && shutdown.is_busy() {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        // Whoever connects from now on is told that nobody listens, and not cut in the middle.
        shutdown.stop_accepting.send(true).ok();
        // Answers to other nodes may still wait for the link: their connections end after them.
        shutdown.close_peers.send(true).ok();
        loop {
            // What was accepted last counts only once it has run for the first time.
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
            let busy = shutdown.is_busy() || shutdown.peer_connections.count() > 0;
            if !busy || clock::now() >= end {
                break;
            }
        }
        log::info!(
            event = "traffic_ends", clients = shutdown.ingress.running_count(),
            jobs = shutdown.egress.running_count(), connections = shutdown.client_connections.count(),
            nodes = shutdown.peer_connections.count(), after_ms = clock::now().since(since).as_millis() as u64; ""
        );
    }
}

/// Is what is still to be finished by a process that leaves.
struct Shutdown {
    egress: Rc<Egress>,
    ingress: Rc<Ingress>,
    close_clients: watch::Sender<bool>,
    /// Turns true when no more clients are accepted.
    stop_accepting: watch::Sender<bool>,
    client_connections: ActiveCounter,
    close_peers: watch::Sender<bool>,
    peer_connections: ActiveCounter,
}

impl Shutdown {
    /// Tells whether requests are worked on, or answers to clients written.
    fn is_busy(&self) -> bool {
        self.ingress.running_count() > 0
            || self.egress.running_count() > 0
            || self.client_connections.count() > 0
    }
}

async fn wait_until(moment: Moment) {
    tokio::time::sleep(moment.since(clock::now())).await;
}
