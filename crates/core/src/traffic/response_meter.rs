//! Tells a response from bytes that will never be one.

use super::ResponseBounds;

/// Counts the bytes of one connection, since libraries drop some of them without a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseMeter {
    bounds: ResponseBounds,
    /// Bytes that arrived since the body last grew.
    unused: usize,
    body: u64,
}

impl ResponseMeter {
    /// Starts with the first response of a connection.
    pub fn new(bounds: ResponseBounds) -> Self {
        Self {
            bounds,
            unused: 0,
            body: 0,
        }
    }

    /// Starts the next response.
    pub fn start(&mut self) {
        *self = Self::new(self.bounds);
    }

    /// Records bytes that have arrived.
    pub fn record_read(&mut self, count: usize) {
        self.unused = self.unused.saturating_add(count);
    }

    /// Records that the body has grown.
    pub fn record_body(&mut self, count: usize) {
        self.unused = 0;
        self.body = self.body.saturating_add(count as u64);
    }

    /// Returns whether more has arrived than belongs to any response.
    pub fn is_exceeded(&self) -> bool {
        let body_exceeded = self.bounds.body_bytes.is_some_and(|most| self.body > most);
        self.unused > self.bounds.unused_bytes || body_exceeded
    }
}
