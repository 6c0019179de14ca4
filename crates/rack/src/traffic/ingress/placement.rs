//! Chooses the node for the next attempt of a job.

use std::sync::Arc;
use std::time::Duration;

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::time::Moment;
use quetzalrack_core::traffic::poison::Suspicion;
use quetzalrack_mesh::ownership::DirectoryEntry;
use quetzalrack_mesh::traffic::suspects::trial_nodes;

use super::Ingress;
use super::attempts::Attempts;
use crate::shared::Board;
use crate::shared::NodeView;
use crate::traffic::hop::HopClient;
use crate::traffic::job::Job;

/// How soon a node is probed again that accepts connections although the leader receives no
/// heartbeats from it.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// How many connections in a row must fail to open: a busy host whose accept queue is full drops
/// SYN packets and still responds to the requests it works on.
const MAX_FAILED_PROBES: u32 = 2;

/// Where a job can be sent.
pub(super) enum Placement {
    /// To this node.
    Node(NodeName),
    /// The key has no owner now.
    NoOwner,
    /// No node is left to try.
    NoNode,
}

impl Ingress {
    /// Chooses the node for the next attempt of a job. The owner of a key may have been tried before; a node
    /// whose server is `leaving` gets nothing.
    pub(super) fn choose_node(
        &self,
        now: Moment,
        view: &NodeView,
        job: &Job,
        attempts: &Attempts,
        leaving: &[NodeName],
    ) -> Placement {
        match job.key {
            Some(key) if view.is_keyed(&job.service) => {
                match view.directory.owner(&job.service, key) {
                    Some(owner) if !leaving.contains(owner) => Placement::Node(owner.clone()),
                    _ => Placement::NoOwner,
                }
            }
            _ => {
                let unusable = [attempts.without_server.as_slice(), leaving].concat();
                let mut avoided = [attempts.tried_nodes.as_slice(), leaving].concat();
                avoided.extend(self.outside_trial(view, job, &unusable));
                let mut balancer = self.balancer.borrow_mut();
                let chosen =
                    balancer.choose(now, &view.directory, &job.service, &job.route, &avoided);
                chosen.map_or(Placement::NoNode, Placement::Node)
            }
        }
    }

    /// Returns the nodes that are not to get a job, since its content is suspected and tried at a few others. One
    /// of those that refuses for a while is not replaced: copies of the content may be under way there.
    fn outside_trial(&self, view: &NodeView, job: &Job, unusable: &[NodeName]) -> Vec<NodeName> {
        let Suspicion::Suspected { servers } = self.suspects.suspicion(&job.content) else {
            return Vec::new();
        };
        let ends = self.suspects.ends(&job.content);
        let ranked = trial_nodes(&view.directory, &job.service, &job.content, &ends.list);
        let usable = ranked.into_iter().filter(|node| !unusable.contains(node));
        usable.skip(servers).cloned().collect()
    }
}

/// Waits until a node is unreachable, so that no response is to be expected from it.
///
/// Missing heartbeats at the leader are a hint only: heartbeats are lost, and leaders change. A
/// request that was given up for the hint alone would be cut off while its server works on it.
pub(super) async fn wait_unreachable(board: &Arc<Board>, hops: &HopClient, node: &NodeName) {
    let mut failed_probes = 0;
    loop {
        let view = board.view();
        let entry: Option<&DirectoryEntry> = view.directory.members.get(node);
        let Some(entry) = entry.filter(|entry| !entry.responsive) else {
            failed_probes = 0;
            board.changed().await;
            continue;
        };
        failed_probes = match hops.is_reachable(entry.member.traffic).await {
            true => 0,
            false => failed_probes + 1,
        };
        if failed_probes >= MAX_FAILED_PROBES {
            return;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
