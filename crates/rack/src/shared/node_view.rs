//! Everything that traffic reads of the control's state.

use std::sync::Arc;

use quetzalrack_core::time::Moment;
use quetzalrack_mesh::model::OperatorsIntent;
use quetzalrack_mesh::ownership::Directory;
use quetzalrack_mesh::routing::RouteTable;

use super::ServerView;

/// Is an immutable view of the control's state; a new one replaces it whole.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// All nodes and owners.
    pub directory: Arc<Directory>,
    /// The operators' intent.
    pub intent: Arc<OperatorsIntent>,
    /// Up to when that holds all that was acknowledged, as far as known.
    pub confirmed: Moment,
    /// Its routes; none until a configuration is known.
    pub routes: Option<Arc<RouteTable>>,
    /// The backend server beside the node, if there is one to use.
    pub server: Option<ServerView>,
    /// Whether the node is shutting down.
    pub shutting_down: bool,
}
