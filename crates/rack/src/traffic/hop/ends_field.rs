//! The ends of servers under a request's content, as a field of a header. Processes of earlier versions ignore
//! it.

use quetzalrack_core::traffic::poison::KnownEnds;

/// What distinguishes the field from others.
const PREFIX: &str = "ends=";

/// Encodes the field with the space before it; nothing if there is nothing to tell.
pub(super) fn encode(ends: &KnownEnds) -> String {
    if ends.is_empty() {
        return String::new();
    }
    format!(" {PREFIX}{ends}")
}

/// Decodes the field; none if it is another one or malformed.
pub(super) fn decode(field: &str) -> Option<KnownEnds> {
    field.strip_prefix(PREFIX)?.parse().ok()
}
