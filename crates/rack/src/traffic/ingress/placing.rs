//! Where a job goes next.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_mesh::ownership::DirectoryEntry;
use quetzalrack_mesh::traffic::balancing::LoadBalancer;

use crate::shared::Board;
use crate::shared::NodeView;
use crate::traffic::hop::HopClient;
use crate::traffic::job::Job;

/// How soon a node that is reached though the leader does not hear it is tried again.
const LOOK_AGAIN: Duration = Duration::from_millis(500);

/// How many connections in a row must fail to open: a busy host whose queue of connections is full drops
/// an opening packet, and still answers what it works on.
const UNREACHED: u32 = 2;

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
    chooser: &RefCell<LoadBalancer>,
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
            let chosen = chooser.choose(now, &view.directory, &job.service, &job.route, tried);
            chosen.map_or(Place::Nowhere, Place::Node)
        }
    }
}

/// Waits until a node is surely out of reach; what was sent there has no answer to come.
///
/// That the leader does not hear it is a hint only: beats are lost, and leaders change. A request
/// that was given up for the hint alone would be cut while its server works on it.
pub(super) async fn silence(board: &Arc<Board>, hops: &HopClient, node: &NodeName) {
    let mut failed = 0;
    loop {
        let view = board.view();
        let entry: Option<&DirectoryEntry> = view.directory.members.get(node);
        let Some(entry) = entry.filter(|entry| !entry.responsive) else {
            failed = 0;
            board.changed().await;
            continue;
        };
        failed = match hops.reaches(entry.member.traffic).await {
            true => 0,
            false => failed + 1,
        };
        if failed >= UNREACHED {
            return;
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
}
