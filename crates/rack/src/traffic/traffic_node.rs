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
use super::wire::LinkPacer;
use super::wire::OpenCount;
use super::wire::listen;
use crate::clock;
use crate::metrics::Metrics;
use crate::metrics::serve_metrics;
use crate::shared::Board;

/// How often the load is counted for the control thread, which sends it on with its beats.
const REPORT: Duration = Duration::from_millis(200);
/// How long clients still come after SIGTERM: the platform asks once a second and takes two misses.
pub(super) const CLIENTS_LEAVE: Duration = Duration::from_millis(2_300);
/// How long other nodes still send jobs after that; they learn within a beat that this one leaves.
const NODES_LEAVE: Duration = Duration::from_millis(500);
/// How much of the time until SIGKILL is left unused.
const SPARE: Duration = Duration::from_millis(400);
/// How often a leaving process looks whether its work is done.
const LOOK: Duration = Duration::from_millis(20);

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
    page: Arc<Metrics>,
}

impl TrafficNode {
    /// Makes the traffic side of a node.
    pub fn new(settings: TrafficSettings, board: Arc<Board>, page: Arc<Metrics>) -> Self {
        Self {
            settings,
            board,
            page,
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
                    Arc::clone(&self.page),
                ))),
                // A node without its page serves all the same.
                Err(error) => log::error!(event = "no_metrics_page"; "{error}"),
            }
        }
        let pacer = host.link.map(LinkPacer::spawn);
        let egress = Egress::new(
            Arc::clone(&self.board),
            Arc::clone(&self.page),
            host.service.clone(),
            host.zone.clone(),
            host.bounds,
            host.link,
        );
        let ingress = Ingress::new(
            host.clone(),
            Arc::clone(&self.board),
            Arc::clone(&self.page),
            Rc::clone(&egress),
            pacer.clone(),
            self.settings.seed,
        );
        let (close, closing) = watch::channel(false);
        let (close_hops, hops_closing) = watch::channel(false);
        let (last, none_after) = watch::channel(false);
        let leaving = Leaving {
            egress: Rc::clone(&egress),
            ingress: Rc::clone(&ingress),
            close,
            last,
            clients: OpenCount::default(),
            close_hops,
            hops: OpenCount::default(),
        };
        let port = ClientPort {
            ingress: Rc::clone(&ingress),
            board: Arc::clone(&self.board),
            closing,
            pacer: pacer.clone(),
            open: leaving.clients.clone(),
        };
        tokio::task::spawn_local(port.run(clients, none_after));
        let hops = HopServer {
            egress: Rc::clone(&egress),
            board: Arc::clone(&self.board),
            pacer,
            open: leaving.hops.clone(),
            closing: hops_closing,
        };
        tokio::task::spawn_local(hops.run(peers));
        while !self.board.is_leaving() {
            self.board.set_report(egress.report());
            tokio::time::sleep(REPORT).await;
        }
        self.leave(&leaving).await;
        Ok(())
    }

    /// Finishes everything: clients go first, then other nodes, and nothing is cut.
    async fn leave(&self, leaving: &Leaving) {
        let since = clock::now();
        let end = since + self.settings.host.bounds.grace.saturating_sub(SPARE);
        wait_until(since + CLIENTS_LEAVE).await;
        // Nobody listens if every connection has ended.
        leaving.close.send(true).ok();
        wait_until(since + CLIENTS_LEAVE + NODES_LEAVE).await;
        leaving.egress.close();
        while clock::now() < end && leaving.is_busy() {
            tokio::time::sleep(LOOK).await;
        }
        // Whoever connects from now on is told that nobody listens, and not cut in the middle.
        leaving.last.send(true).ok();
        // Answers to other nodes may still wait for the link: their connections end after them.
        leaving.close_hops.send(true).ok();
        loop {
            // What was accepted last counts only once it has run for the first time.
            tokio::time::sleep(LOOK).await;
            let busy = leaving.is_busy() || leaving.hops.get() > 0;
            if !busy || clock::now() >= end {
                break;
            }
        }
        log::info!(
            event = "traffic_ends", clients = leaving.ingress.running(),
            jobs = leaving.egress.running(), connections = leaving.clients.get(),
            nodes = leaving.hops.get(), after_ms = clock::now().since(since).as_millis() as u64; ""
        );
    }
}

/// Is what is still to be finished by a process that leaves.
struct Leaving {
    egress: Rc<Egress>,
    ingress: Rc<Ingress>,
    close: watch::Sender<bool>,
    /// Turns true when no more clients are accepted.
    last: watch::Sender<bool>,
    clients: OpenCount,
    close_hops: watch::Sender<bool>,
    hops: OpenCount,
}

impl Leaving {
    /// Tells whether requests are worked on, or answers to clients written.
    fn is_busy(&self) -> bool {
        self.ingress.running() > 0 || self.egress.running() > 0 || self.clients.get() > 0
    }
}

async fn wait_until(moment: Moment) {
    tokio::time::sleep(moment.since(clock::now())).await;
}
