//! The ends of servers under a request's content, as a field of a header. Processes of earlier versions ignore
//! it.

use quetzalrack_core::traffic::poison::ServerEnd;

/// What distinguishes the field from others.
const PREFIX: &str = "ends=";

/// Encodes the field with the space before it; nothing if there are no ends.
pub(super) fn encode(ends: &[ServerEnd]) -> String {
    if ends.is_empty() {
        return String::new();
    }
    let texts: Vec<String> = ends.iter().map(ServerEnd::to_string).collect();
    format!(" {PREFIX}{}", texts.join(","))
}

/// Decodes the field; none if it is another one or malformed.
pub(super) fn decode(field: &str) -> Option<Vec<ServerEnd>> {
    let texts = field.strip_prefix(PREFIX)?.split(',');
    texts.map(|text| text.parse().ok()).collect()
}
