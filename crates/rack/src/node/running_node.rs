//! A node's threads.

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

/// Is a running node.
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
        let page = Arc::new(Metrics::default());
        let (shutdown, told) = mpsc::unbounded_channel();
        let profile = NodeProfile {
            incarnation: NodeIncarnation {
                node: host.node.clone(),
                nonce: seed,
            },
            zone: host.zone.clone(),
            control: advertised,
            traffic: advertised,
            service: host.service.clone(),
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
        let control = ControlNode::new(settings, Arc::clone(&board), Arc::clone(&page), told);
        let settings = TrafficSettings {
            metrics: options.metrics.map(|port| SocketAddr::new(host.ip, port)),
            host,
            peers,
            seed,
        };
        let traffic = TrafficNode::new(settings, Arc::clone(&board), page);
        Ok(Self {
            board,
            shutdown,
            control: spawn("control", move || control.run())?,
            traffic: spawn("traffic", move || traffic.run())?,
        })
    }

    /// Tells the node to leave: it finishes what it has.
    pub fn shutdown(&self) {
        self.board.set_leaving(clock::now());
        // A control thread that is gone has nobody left to tell.
        self.shutdown.send(()).ok();
    }

    /// Tells whether the node has ended, by being told or by breaking down.
    pub fn is_over(&self) -> bool {
        self.traffic.is_finished() || self.control.is_finished()
    }

    /// Returns how the node ended.
    pub fn end(self) -> Result<(), RunError> {
        if self.traffic.is_finished() {
            self.traffic
                .join()
                .map_err(|_| RunError::Broken("traffic"))??;
            return Ok(());
        }
        self.control
            .join()
            .map_err(|_| RunError::Broken("control"))??;
        Ok(())
    }
}

fn spawn<F>(name: &str, run: F) -> io::Result<JoinHandle<io::Result<()>>>
where
    F: FnOnce() -> io::Result<()> + Send + 'static,
{
    thread::Builder::new().name(name.to_owned()).spawn(run)
}
