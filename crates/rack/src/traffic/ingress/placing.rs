//! Where a job goes next.

use std::cell::RefCell;
use std::sync::Arc;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::ownership::DirectoryEntry;
use quetzalrack_mesh::traffic::choice::Chooser;

use crate::shared::Board;
use crate::shared::NodeView;
use crate::traffic::job::Job;

/// Says where a job can go.
pub(super) enum Place {
    /// To this node.
    Node(NodeName),
    /// Its key has no owner now.
    NoOwner,
    /// No node is left to try.
    Nowhere,
}

/// Chooses the next node for a job.
pub(super) fn next(
    now: Moment,
    view: &NodeView,
    chooser: &RefCell<Chooser>,
    job: &Job,
    tried: &[NodeName],
) -> Place {
    let config = view.intent.config.as_ref();
    let keyed = config.and_then(|config| config.services.get(&job.service));
    match job.key {
        Some(key) if keyed.is_some_and(|service| service.keyed) => {
            match view.directory.owner(&job.service, key) {
                Some(owner) => Place::Node(owner.clone()),
                None => Place::NoOwner,
            }
        }
        _ => {
            let mut chooser = chooser.borrow_mut();
            let chosen = chooser.choose(now, &view.directory, &job.service, tried);
            chosen.map_or(Place::Nowhere, Place::Node)
        }
    }
}

/// Waits until a node is no longer heard by the leader; what was sent there has no answer to come.
pub(super) async fn silence(board: &Arc<Board>, node: &NodeName) {
    loop {
        let view = board.view();
        let entry: Option<&DirectoryEntry> = view.directory.members.get(node);
        if entry.is_some_and(|entry| !entry.heard) {
            return;
        }
        board.changed().await;
    }
}
