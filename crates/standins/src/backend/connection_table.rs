//! Connections, as far as requests show them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a connection without a request counts as open, in microseconds.
const IDLE_US: u64 = 60_000_000;

/// Recognises the first request of a connection by its sender's address, since the HTTP library
/// does not tell of connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTable {
    seen: BTreeMap<SocketAddr, u64>,
    opened: u64,
}

impl ConnectionTable {
    /// Notes a request and tells whether its connection is new.
    pub fn note(&mut self, sender: SocketAddr, now_us: u64) -> bool {
        self.seen
            .retain(|_, last_us| now_us.saturating_sub(*last_us) < IDLE_US);
        let is_new = self.seen.insert(sender, now_us).is_none();
        self.opened += u64::from(is_new);
        is_new
    }

    /// Returns how many connections ever brought a request.
    pub fn opened(&self) -> u64 {
        self.opened
    }

    /// Returns how many connections brought a request lately.
    pub fn open(&self) -> usize {
        self.seen.len()
    }
}
