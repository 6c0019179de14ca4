//! The threads of a node.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use quetzalrack_mesh::model::HostSettings;
use quetzalrack_mesh::model::LinkRate;
use quetzalrack_mesh::ownership::NodeIncarnation;
use quetzalrack_mesh::ownership::NodeProfile;
use quetzalrack_platform::store::MetadataStore;
use tokio::sync::mpsc;

use super::NodeOptions;
use super::RunError;
use crate::clock;
use crate::control::ControlNode;
use crate::control::ControlSettings;
use crate::metrics::Metrics;
use crate::shared::Board;
use crate::traffic::TrafficNode;
use crate::traffic::TrafficSettings;

/// A running node.
pub struct RunningNode {
    board: Arc<Board>,
    shutdown: mpsc::UnboundedSender<()>,
    traffic: JoinHandle<io::Result<()>>,
    control: JoinHandle<io::Result<()>>,
}

impl RunningNode {
    /// Starts a node.
    pub fn spawn(host: HostSettings, options: NodeOptions) -> Result<Self, RunError> {
        let port = host.peer_ports.clone().next().ok_or(RunError::NoPeerPort)?;
        let advertised = SocketAddr::new(host.ip, port);
        let peers = options.peers.unwrap_or(advertised);
        let store = Arc::new(MetadataStore::open(host.store)?);
        let seed: u64 = rand::random();
        let board = Arc::new(Board::default());
        let metrics = Arc::new(Metrics::default());
        let (shutdown, shutdown_requests) = mpsc::unbounded_channel();
        let profile = NodeProfile {
            incarnation: NodeIncarnation {
                node: host.node.clone(),
                nonce: seed,
            },
            zone: host.zone.clone(),
            control: advertised,
            traffic: advertised,
            service: host.service.clone(),
            server: host.server,
            heartbeat: host.heartbeat,
            granting: host.granting,
            narrow_link: host.link.is_some_and(LinkRate::is_narrow),
            seed,
        };
        let settings = ControlSettings {
            host: host.clone(),
            profile,
            peers,
            store,
        };
        let control = ControlNode::new(
            settings,
            Arc::clone(&board),
            Arc::clone(&metrics),
            shutdown_requests,
        );
        let settings = TrafficSettings {
            metrics: options.metrics.map(|port| SocketAddr::new(host.ip, port)),
            host,
            peers,
            seed,
        };
        let traffic = TrafficNode::new(settings, Arc::clone(&board), metrics);
        Ok(Self {
            board,
            shutdown,
            control: spawn("control", move || control.run())?,
            traffic: spawn("traffic", move || traffic.run())?,
        })
    }

    /// Starts a graceful shutdown: the node finishes the requests it has accepted.
    pub fn shutdown(&self) {
        self.board.start_shutdown(clock::now());
        // Sending fails only if the control thread has ended already.
        self.shutdown.send(()).ok();
    }

    /// Returns whether the node has stopped, by a shutdown or by a failure.
    pub fn has_stopped(&self) -> bool {
        self.traffic.is_finished() || self.control.is_finished()
    }

    /// Returns the result of the thread that has stopped.
    pub fn result(self) -> Result<(), RunError> {
        if self.traffic.is_finished() {
            self.traffic
                .join()
                .map_err(|_| RunError::Panicked("traffic"))??;
            return Ok(());
        }
        self.control
            .join()
            .map_err(|_| RunError::Panicked("control"))??;
        Ok(())
    }
}

fn spawn<F>(name: &str, run: F) -> io::Result<JoinHandle<io::Result<()>>>
where
    F: FnOnce() -> io::Result<()> + Send + 'static,
{
    thread::Builder::new().name(name.to_owned()).spawn(run)
}
