//! View of the control state for the traffic thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::routing::RouteTable;

use super::ServerView;

/// Immutable view of the control state; each change replaces the whole view.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// All nodes and owners.
    pub directory: Arc<Directory>,
    /// When the leader last confirmed the table of nodes; none if that table is still an earlier leader's.
    pub members_confirmed: Option<Moment>,
    /// The operators' intent.
    pub intent: Arc<OperatorsIntent>,
    /// The intent is known to contain every change acknowledged up to this moment.
    pub confirmed: Moment,
    /// Routes of the intent's configuration; none until a configuration is known.
    pub routes: Option<Arc<RouteTable>>,
    /// The backend server beside the node, if one is usable.
    pub server: Option<ServerView>,
    /// The nodes that leaders named as voters when this process started, and their addresses.
    pub voters: Arc<BTreeMap<NodeName, SocketAddr>>,
    /// Whether the node is shutting down.
    pub shutting_down: bool,
}

impl NodeView {
    /// Returns whether a service is known to be divided by key.
    pub fn is_keyed(&self, service: &ServiceName) -> bool {
        let config = self.intent.config.as_ref();
        let service = config.and_then(|config| config.services.get(service));
        service.is_some_and(|service| service.keyed)
    }
}
