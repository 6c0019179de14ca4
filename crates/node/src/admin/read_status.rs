//! Assembly of a node's status.

use std::sync::atomic::Ordering;

use quetzalrack_core::time::Moment;
use quetzalrack_wire::status::IntentStatus;
use quetzalrack_wire::status::LeaseStatus;
use quetzalrack_wire::status::NodeStatus;

use super::AdminState;

/// Returns the status, or none while the node is still binding its addresses.
pub(super) fn read_status(state: &AdminState) -> Option<NodeStatus> {
    let now = state.clock.now();
    let server = state.view.announcement.load_full();
    let mut member = state.member.get()?.clone();
    member.server = server.as_ref().map(|server| server.server.clone());
    member.service = server.as_ref().map(|server| server.service.clone());
    Some(NodeStatus {
        environment: state.environment.clone(),
        stage: state.stage,
        member,
        leaving: state.view.shutting_down.load(Ordering::Acquire),
        intent: read_intent(state, now),
        log_reachable: state.board.log_reachable.load(Ordering::Relaxed),
        routing: state.view.routing.load().version,
        controller: state.board.controller.load().as_deref().cloned(),
        leases: read_leases(state, now),
        server: server.as_deref().cloned(),
        cost: state.cost.read(now),
    })
}

fn read_intent(state: &AdminState, now: Moment) -> Option<IntentStatus> {
    let intent = state.view.intent.load_full()?;
    Some(IntentStatus {
        version: intent.version,
        digest: intent.digest,
        age_ms: now.since(state.board.intent_since()).as_millis() as u64,
        zones_out: intent.zones_out.clone(),
        servers_out: intent.servers_out.clone(),
    })
}

fn read_leases(state: &AdminState, now: Moment) -> Vec<LeaseStatus> {
    let table = state.view.leases.load();
    let leases = table.leases.iter().map(|(slice, lease)| LeaseStatus {
        slice: slice.clone(),
        fence: lease.fence,
        left_ms: lease.deadline.since(now).as_millis() as u64,
        admits: lease.admits,
    });
    leases.collect()
}
