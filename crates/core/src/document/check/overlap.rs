//! Routes that match the same requests.

use super::node::Node;
use super::problem_list::ProblemList;
use super::route_path::RoutePath;
use crate::document::ProblemCode;

/// Reports every route that some earlier route of any service overlaps; which of the two answered
/// would depend on their order.
pub(super) fn check(services: &[Node<'_>], problems: &mut ProblemList<'_>) {
    let mut earlier: Vec<(String, &str, RoutePath<'_>)> = Vec::new();
    for service in services {
        let service_name = service.text_of("name").unwrap_or("?");
        for route in items_of(service, "routes") {
            let Some(path_node) = route.field("path") else {
                continue;
            };
            let (Some(method), Some(text)) = (route.text_of("method"), path_node.text()) else {
                continue;
            };
            let Some(path) = RoutePath::parse(text) else {
                continue;
            };
            let name = format!("{service_name}/{}", route.text_of("name").unwrap_or("?"));
            let found = earlier
                .iter()
                .find(|(_, other, known)| *other == method && known.overlaps(&path));
            if let Some((other, ..)) = found {
                problems.add(ProblemCode::OverlappingRoute, &path_node, &name, other);
            }
            earlier.push((name, method, path));
        }
    }
}

/// Returns the items of a list in a field.
pub(super) fn items_of<'a>(node: &Node<'a>, name: &str) -> Vec<Node<'a>> {
    node.field(name)
        .map(|list| list.items())
        .unwrap_or_default()
}
