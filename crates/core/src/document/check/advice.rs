//! Warnings: what is legal but unwise.

use std::collections::BTreeSet;

use super::network_time;
use super::node::Node;
use super::overlap::items_of;
use super::problem_list::ProblemList;
use crate::document::ProblemCode;
use crate::document::spec::OwnershipSpec;

/// The greatest time a key should be unavailable after a loss, in milliseconds.
const TAKEOVER_MS: f64 = 5_000.0;
/// A lost controller's slices are granted again after two leases, and its loss is noticed in one.
const LEASES: f64 = 3.0;
/// With fewer zones the loss of one can take the majority.
const LEAST_ZONES: usize = 3;
/// The default of `slices`.
const SLICES: f64 = 16.0;
const WHOLE: f64 = 100.0;

/// Warns about the whole document.
pub(super) fn check(root: &Node<'_>, problems: &mut ProblemList<'_>) {
    let zones = count_zones(root);
    if let Some(node) = root.field("zones")
        && (1..LEAST_ZONES).contains(&zones)
    {
        problems.add(ProblemCode::FewZones, &node, zones, LEAST_ZONES);
    }
    check_takeover(root, problems);
    let network = network_time::least_ms(root);
    for service in items_of(root, "services") {
        check_service(&service, zones, problems);
        for route in items_of(&service, "routes") {
            check_objective(&route, network, problems);
        }
    }
}

fn count_zones(root: &Node<'_>) -> usize {
    let zones = items_of(root, "zones");
    let names: BTreeSet<_> = zones.iter().filter_map(Node::text).collect();
    names.len()
}

fn check_takeover(root: &Node<'_>, problems: &mut ProblemList<'_>) {
    let default = OwnershipSpec::default();
    let Some(ownership) = root.field("ownership") else {
        return;
    };
    let lease = ownership.number_or("lease_ms", f64::from(default.lease_ms.0));
    let heartbeat = ownership.number_or("heartbeat_ms", f64::from(default.heartbeat_ms.0));
    if let (Some(lease), Some(heartbeat)) = (lease, heartbeat)
        && LEASES * lease + heartbeat > TAKEOVER_MS
    {
        let node = ownership
            .field("lease_ms")
            .unwrap_or_else(|| ownership.clone());
        let takeover = LEASES * lease + heartbeat;
        problems.add(ProblemCode::SlowTakeover, &node, takeover, TAKEOVER_MS);
    }
}

fn check_service(service: &Node<'_>, zones: usize, problems: &mut ProblemList<'_>) {
    if let (Some(slots), Some(connections)) = (service.field("slots"), service.field("connections"))
        && let (Some(slot_count), Some(most)) = (slots.number(), connections.number())
        && slot_count > most
        && most >= 1.0
    {
        problems.add(ProblemCode::SlotsAboveConnections, &slots, slot_count, most);
    }
    let Some(servers) = service.field("servers") else {
        return;
    };
    let Some(count) = servers.number().filter(|count| *count >= 1.0) else {
        return;
    };
    if count == 1.0 {
        problems.add(ProblemCode::LoneServer, &servers, count, "");
    } else if count < zones as f64 {
        problems.add(ProblemCode::FewServers, &servers, count, zones);
    }
    if let Some(slices) = service.number_or("slices", SLICES)
        && slices >= 1.0
        && slices < count
    {
        let node = service.field("slices").unwrap_or(servers);
        problems.add(ProblemCode::FewSlices, &node, slices, count);
    }
}

fn check_objective(route: &Node<'_>, network: Option<f64>, problems: &mut ProblemList<'_>) {
    let Some(objective) = route.field("objective") else {
        return;
    };
    if let (Some(latency), Some(least)) = (objective.field("latency_ms"), network)
        && let Some(value) = latency.number()
        && value >= 1.0
        && value <= least
    {
        problems.add(ProblemCode::TightObjective, &latency, value, least);
    }
    if let Some(good) = objective.field("good_percent")
        && good.number() == Some(WHOLE)
    {
        problems.add(ProblemCode::NoBudget, &good, WHOLE, "");
    }
}
