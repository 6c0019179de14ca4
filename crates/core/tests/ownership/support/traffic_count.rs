//! Counts of a node's datagrams.

/// Counts datagrams and their bytes, with the IP and UDP headers and with the version byte and
/// signature that the wire crate adds.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCount {
    pub datagrams: u64,
    pub bytes: u64,
    pub largest: u64,
}

impl TrafficCount {
    pub fn add(&mut self, payload: u64) {
        const HEADERS: u64 = 28;
        const SIGNATURE: u64 = 36;
        self.datagrams += 1;
        self.bytes += payload + SIGNATURE + HEADERS;
        self.largest = self.largest.max(payload);
    }
}
