//! The headers that a node forwards.

use axum::http::HeaderMap;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::header;
use quetzalrack_wire::headers;

/// Hop-by-hop headers and headers that every hop sets itself, such as `host`.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that a node does not forward: hop-by-hop headers, those that the connection
/// header names, and quetzalrack's own, with which a caller could pose as a node.
pub(in crate::traffic) fn retain_forwarded(map: &mut HeaderMap) {
    let named: Vec<HeaderName> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let own: Vec<HeaderName> = map
        .keys()
        .filter(|name| name.as_str().starts_with(headers::PREFIX))
        .cloned()
        .collect();
    for name in HOP_BY_HOP {
        map.remove(*name);
    }
    for name in named.iter().chain(&own) {
        map.remove(name);
    }
}

/// Sets a header to the text of a value; the text of identifiers and names is always valid.
pub(in crate::traffic) fn set_header<T>(map: &mut HeaderMap, name: &'static str, value: T)
where
    T: ToString,
{
    if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
        map.insert(name, value);
    }
}
