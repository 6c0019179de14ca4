//! What must fit together; fields that can't be read were reported and are passed over.

use super::node::Node;
use super::overlap;
use super::overlap::items_of;
use super::problem_list::ProblemList;
use super::route_path::RoutePath;
use crate::document::Place;
use crate::document::ProblemCode;
use crate::document::spec::OwnershipSpec;

/// How many heartbeats must fit into a lease without its margin, so that one may be lost.
const HEARTBEATS: f64 = 2.0;
/// The default of `cold_slots`.
pub(super) const COLD_SLOTS: f64 = 2.0;

/// Checks the whole document.
pub(super) fn check(root: &Node<'_>, problems: &mut ProblemList<'_>) {
    let zones = items_of(root, "zones");
    check_twice(
        &zones,
        |zone| Some(zone.clone()),
        ProblemCode::DuplicateZone,
        problems,
    );
    if let Some(ownership) = root.field("ownership") {
        check_ownership(&ownership, problems);
    }
    let services = items_of(root, "services");
    check_twice(
        &services,
        |node| node.field("name"),
        ProblemCode::DuplicateService,
        problems,
    );
    for service in &services {
        check_service(service, problems);
        let routes = items_of(service, "routes");
        check_twice(
            &routes,
            |node| node.field("name"),
            ProblemCode::DuplicateRoute,
            problems,
        );
    }
    overlap::check(&services, problems);
}

fn check_twice<'a, F>(
    nodes: &[Node<'a>],
    name_of: F,
    code: ProblemCode,
    problems: &mut ProblemList<'_>,
) where
    F: Fn(&Node<'a>) -> Option<Node<'a>>,
{
    let mut seen: Vec<(&str, Place)> = Vec::new();
    for node in nodes {
        let Some(name) = name_of(node) else {
            continue;
        };
        let Some(text) = name.text() else {
            continue;
        };
        match seen.iter().find(|(known, _)| *known == text) {
            Some((_, place)) => problems.add(code, &name, format!("{text:?}"), place),
            None => seen.push((text, problems.place(&name))),
        }
    }
}

fn check_ownership(ownership: &Node<'_>, problems: &mut ProblemList<'_>) {
    let default = OwnershipSpec::default();
    let number = |name, default: u32| ownership.number_or(name, f64::from(default));
    let (Some(lease), Some(heartbeat), Some(margin)) = (
        number("lease_ms", default.lease_ms.0),
        number("heartbeat_ms", default.heartbeat_ms.0),
        number("margin_ms", default.margin_ms.0),
    ) else {
        return;
    };
    let least = HEARTBEATS * heartbeat + margin;
    if lease < least {
        let node = ownership
            .field("lease_ms")
            .unwrap_or_else(|| ownership.clone());
        problems.add(ProblemCode::LeaseTooShort, &node, lease, least);
    }
}

fn check_service(service: &Node<'_>, problems: &mut ProblemList<'_>) {
    let slots = service.number_or("slots", f64::INFINITY);
    let cold = service.number_or("cold_slots", COLD_SLOTS);
    if let (Some(slots), Some(cold)) = (slots, cold)
        && cold > slots
        && slots >= 1.0
    {
        let node = service
            .field("cold_slots")
            .unwrap_or_else(|| service.clone());
        problems.add(ProblemCode::ColdAboveSlots, &node, cold, slots);
    }
    let divided = service
        .field("divided_by_key")
        .and_then(|node| node.truth());
    for route in items_of(service, "routes") {
        check_route(&route, divided == Some(true), problems);
    }
}

fn check_route(route: &Node<'_>, divided: bool, problems: &mut ProblemList<'_>) {
    let repeatable = route.field("repeatable").and_then(|node| node.truth());
    let path_node = route.field("path");
    let path = path_node.as_ref().and_then(|node| node.text());
    let lacks_key = path
        .and_then(RoutePath::parse)
        .is_some_and(|path| !path.has_key());
    if lacks_key && (divided || repeatable == Some(false)) {
        let node = path_node.unwrap_or_else(|| route.clone());
        problems.add(ProblemCode::KeyMissing, &node, path.unwrap_or_default(), "");
    }
    let deadline = route.field("deadline_ms");
    let latency = route
        .field("objective")
        .and_then(|node| node.field("latency_ms"));
    if let (Some(deadline), Some(latency)) = (deadline, latency.and_then(|node| node.number()))
        && let Some(value) = deadline.number()
        && value < latency
    {
        problems.add(ProblemCode::DeadlineTooShort, &deadline, value, latency);
    }
}
