//! The header with the ends of servers under a request's content.

use axum::http::HeaderMap;
use quetzalrack_core::traffic::poison::ServerEnd;
use quetzalrack_wire::headers;

use crate::traffic::hop::set_header;

/// Sets the header if there are any ends.
pub(in crate::traffic) fn write_ends(map: &mut HeaderMap, ends: &[ServerEnd]) {
    if !ends.is_empty() {
        let texts: Vec<String> = ends.iter().map(ServerEnd::to_string).collect();
        set_header(map, headers::ENDS, texts.join(","));
    }
}

/// Reads the header; a malformed one tells nothing.
pub(in crate::traffic) fn read_ends(map: &HeaderMap) -> Vec<ServerEnd> {
    let text = map.get(headers::ENDS).and_then(|value| value.to_str().ok());
    let ends = text.map(|text| text.split(',').map(str::parse).collect());
    ends.and_then(Result::ok).unwrap_or_default()
}
