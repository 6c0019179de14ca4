//! The thread that handles requests.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::HostSettings;
use quetzalrack_mesh::traffic::budget::BudgetPlan;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;

use super::egress::Egress;
use super::hop::HopClient;
use super::hop::HopServer;
use super::ingress::ClientPort;
use super::ingress::Ingress;
use super::suspects::SuspectExchange;
use super::suspects::Suspects;
use super::usage_watch::UsageWatch;
use super::wire::ActiveCounter;
use super::wire::LinkPacer;
use super::wire::listen;
use crate::budget::ProcessBudget;
use crate::clock;
use crate::metrics::Metrics;
use crate::metrics::serve_metrics;
use crate::shared::Board;

/// Interval between load reports to the control thread, which sends them with its heartbeats.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// How often a process that shuts down checks whether all requests are finished.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The settings of the traffic thread.
pub struct TrafficSettings {
    /// The host's settings.
    pub host: HostSettings,
    /// The address at which peers send requests.
    pub peers: SocketAddr,
    /// The address of the metrics page, if it is served.
    pub metrics: Option<SocketAddr>,
    /// Seed of the load balancer.
    pub seed: u64,
}

/// Accepts, routes and serves requests on the thread that runs it.
pub struct TrafficNode {
    settings: TrafficSettings,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
}

impl TrafficNode {
    /// Makes a traffic node that is not running yet.
    pub fn new(settings: TrafficSettings, board: Arc<Board>, metrics: Arc<Metrics>) -> Self {
        Self {
            settings,
            board,
            metrics,
        }
    }

    /// Serves requests until the process has been told to shut down and every accepted request is
    /// finished, or the time to finish them is over.
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
                // The node serves requests without the metrics page too.
                Err(error) => log::error!(event = "no_metrics_page"; "{error}"),
            }
        }
        let pacer = host.link.map(LinkPacer::spawn);
        let plan = BudgetPlan::traffic(host.limits);
        let budget = ProcessBudget::new(plan, Arc::clone(&self.metrics));
        let hops = Rc::new(HopClient::new(pacer.clone(), Rc::clone(&budget)));
        let suspects = Rc::new(Suspects::new(
            host.node.clone(),
            Arc::clone(&self.board),
            Arc::clone(&self.metrics),
        ));
        let exchange = SuspectExchange {
            node_name: host.node.clone(),
            board: Arc::clone(&self.board),
            suspects: Rc::clone(&suspects),
            hops: Rc::clone(&hops),
        };
        tokio::task::spawn_local(exchange.run());
        let egress = Egress::new(
            Arc::clone(&self.board),
            Arc::clone(&self.metrics),
            host,
            Rc::clone(&suspects),
            &budget,
        );
        let ingress = Ingress::new(
            host.clone(),
            Arc::clone(&self.board),
            Arc::clone(&self.metrics),
            Rc::clone(&egress),
            Rc::clone(&suspects),
            hops,
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
        let accepting = tokio::task::spawn_local(port.run(clients, accepting_stopped));
        let hop_server = HopServer {
            egress: Rc::clone(&egress),
            board: Arc::clone(&self.board),
            suspects: Rc::clone(&suspects),
            budget: Rc::clone(&budget),
            pacer,
            connections: shutdown.peer_connections.clone(),
            closing: peers_closing,
        };
        tokio::task::spawn_local(hop_server.run(peers));
        let watch = UsageWatch {
            limits: host.limits,
            metrics: Arc::clone(&self.metrics),
            budget: Rc::clone(&budget),
            ingress,
            egress: Rc::clone(&egress),
            clients: shutdown.client_connections.clone(),
            peers: shutdown.peer_connections.clone(),
        };
        tokio::task::spawn_local(watch.run());
        while !self.board.is_shutting_down() {
            self.board.set_report(egress.report());
            suspects.review();
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
        self.shut_down(&shutdown, accepting).await;
        Ok(())
    }

    /// Finishes the accepted requests: first stops serving clients, then peers, without cutting a
    /// connection in use.
    async fn shut_down(&self, shutdown: &Shutdown, accepting: JoinHandle<()>) {
        let Some(times) = self.board.shutdown_times(&self.settings.host.bounds) else {
            return;
        };
        wait_until(times.clients_closed()).await;
        // Sending fails only if every connection has ended.
        shutdown.close_clients.send(true).ok();
        wait_until(times.peers_closed()).await;
        while clock::now() < times.last_response() && shutdown.is_busy() {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        // From now on new connections are refused; those accepted last have until the end for their
        // first request and its response.
        shutdown.stop_accepting.send(true).ok();
        // It ends by itself within a moment.
        accepting.await.ok();
        // Responses to peers may still wait for the link; each connection is closed after its
        // response.
        shutdown.close_peers.send(true).ok();
        loop {
            // A connection that was accepted last is counted only after its task has first run.
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
            let busy = shutdown.is_busy() || shutdown.peer_connections.count() > 0;
            if !busy || clock::now() >= times.end() {
                break;
            }
        }
        log::info!(
            event = "traffic_ends", clients = shutdown.ingress.running_count(),
            jobs = shutdown.egress.running_count(), connections = shutdown.client_connections.count(),
            nodes = shutdown.peer_connections.count(), after_ms = times.elapsed(clock::now()).as_millis() as u64; ""
        );
    }
}

/// What a process that shuts down has to finish, and the signals that end it.
struct Shutdown {
    egress: Rc<Egress>,
    ingress: Rc<Ingress>,
    close_clients: watch::Sender<bool>,
    /// Sends true when no more client connections are to be accepted.
    stop_accepting: watch::Sender<bool>,
    client_connections: ActiveCounter,
    close_peers: watch::Sender<bool>,
    peer_connections: ActiveCounter,
}

impl Shutdown {
    /// Returns whether requests are in progress or client connections are open.
    fn is_busy(&self) -> bool {
        self.ingress.running_count() > 0
            || self.egress.running_count() > 0
            || self.client_connections.count() > 0
    }
}

async fn wait_until(moment: Moment) {
    tokio::time::sleep(moment.since(clock::now())).await;
}
