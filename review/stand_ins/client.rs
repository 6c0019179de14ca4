//! Clients.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::call;

/// A request of a client.
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<u16>,
    pub deadline: Duration,
}

/// Sends a request on a new connection; returns the status, or 0 if the connection ended without one.
pub fn send(address: SocketAddr, request: &ClientRequest<'_>) -> u16 {
    let deadline = request.deadline.as_millis().to_string();
    let key = request.key.map(|key| key.to_string());
    let mut headers = vec![
        ("Host", "shop.example"),
        ("X-Request-Id", request.id),
        ("X-Deadline-Ms", deadline.as_str()),
    ];
    if let Some(key) = &key {
        headers.push(("X-Shard-Key", key));
    }
    let head = format!("{} {}", request.method, request.path);
    match call(address, &head, &headers, b"", request.deadline) {
        Ok(answer) => answer.status(),
        Err(_) => 0,
    }
}
