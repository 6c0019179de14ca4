//! The header with the ends of servers under a request's content.

use axum::http::HeaderMap;
use quetzalrack_core::traffic::poison::KnownEnds;
use quetzalrack_wire::headers;

use crate::traffic::hop::set_header;

/// Sets the header if there is anything to tell.
pub(in crate::traffic) fn write_ends(map: &mut HeaderMap, ends: &KnownEnds) {
    if !ends.is_empty() {
        set_header(map, headers::ENDS, ends);
    }
}

/// Reads the header; a malformed one tells nothing.
pub(in crate::traffic) fn read_ends(map: &HeaderMap) -> KnownEnds {
    let text = map.get(headers::ENDS).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or_default()
}
