//! State of the admin server.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::OnceLock;

use quetzalrack_core::boundary::Clock;
use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::EnvironmentName;
use quetzalrack_core::intent::Stage;

use crate::control::ControlBoard;
use crate::control::ControlInbox;
use crate::meters::CostMeter;
use crate::platform::KeyStore;
use crate::shared::SharedView;
use crate::shared::TrafficControl;

/// The parts of the node that the routes of the admin port use.
pub struct AdminState {
    /// The environment.
    pub environment: EnvironmentName,
    /// The stage whose intent the node follows.
    pub stage: Stage,
    /// The address on which the node listens.
    pub address: IpAddr,
    /// Whether reads must be authenticated with an operator's key.
    pub guard_reads: bool,
    /// The keys in force.
    pub keys: Arc<KeyStore>,
    /// This node's identity and addresses; set once every address is bound.
    pub member: Arc<OnceLock<Member>>,
    /// The host's clocks.
    pub clock: Arc<dyn Clock>,
    /// The state shared with the traffic threads.
    pub view: Arc<SharedView>,
    /// The state of the control thread.
    pub board: Arc<ControlBoard>,
    /// The control thread's event queue.
    pub inbox: ControlInbox,
    /// Provides the traffic threads' counts.
    pub traffic: Arc<dyn TrafficControl>,
    /// Resource use of the control work.
    pub cost: Arc<CostMeter>,
}
