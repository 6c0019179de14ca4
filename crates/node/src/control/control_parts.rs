//! Dependencies of the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use quetzalrack_core::boundary::PeerLink;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::intent::IntentSnapshot;
use quetzalrack_core::intent::Stage;
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::ControlBoard;
use super::ControlInbox;
use crate::calls::CallClient;
use crate::meters::ThreadMeter;
use crate::platform::Boundaries;
use crate::platform::KeyStore;
use crate::shared::SharedView;
use crate::shared::TrafficControl;

/// Configuration and dependencies of the control thread.
pub struct ControlParts {
    /// The environment.
    pub environment: EnvironmentName,
    /// The stage whose intent the node follows.
    pub stage: Stage,
    /// This node's identity and addresses.
    pub member: Member,
    /// Control addresses of peers that are queried for intent while the log service is unreachable.
    pub seeds: Vec<SocketAddr>,
    /// Heartbeat addresses of peers that are queried for the controller while the log service is
    /// unreachable.
    pub peers: Vec<SocketAddr>,
    /// The external dependencies.
    pub boundaries: Boundaries,
    /// Sends datagrams to peers.
    pub link: Arc<dyn PeerLink>,
    /// Makes calls to peers.
    pub calls: CallClient,
    /// The keys in force.
    pub keys: Arc<KeyStore>,
    /// Applies changes of ownership at the traffic threads.
    pub traffic: Arc<dyn TrafficControl>,
    /// The state shared with the traffic threads.
    pub view: Arc<SharedView>,
    /// The control state shown on the admin port.
    pub board: Arc<ControlBoard>,
    /// The newest intent as a snapshot for peers.
    pub snapshot: Arc<ArcSwapOption<IntentSnapshot>>,
    /// The runtime for I/O.
    pub runtime: Handle,
    /// Receives the results of that I/O.
    pub inbox: ControlInbox,
    /// Records the control thread's processor time.
    pub meter: Arc<ThreadMeter>,
    /// Set once every slice is released during a shutdown.
    pub released: watch::Sender<bool>,
}
