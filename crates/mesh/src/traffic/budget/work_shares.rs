//! How many requests may be in progress.

use std::collections::BTreeMap;

use quetzalrack_core::ids::ServiceName;

/// What a request in progress takes beside its body: its tasks and headers, and the connection that carries it.
const REQUEST_BYTES: u64 = 24 * 1024;

/// Bounds the requests in progress, and those of one service to half of them: requests that wait for a service
/// which doesn't answer must not keep out those of the others.
#[derive(Clone, Debug)]
pub struct WorkShares {
    max: usize,
    running: BTreeMap<ServiceName, usize>,
}

impl WorkShares {
    /// Makes the shares of so many bytes.
    pub fn new(bytes: u64) -> Self {
        Self {
            max: usize::try_from(bytes / REQUEST_BYTES).unwrap_or(usize::MAX),
            running: BTreeMap::new(),
        }
    }

    /// Records that a request for a service begins, and returns whether it may.
    pub fn begin(&mut self, service: &ServiceName) -> bool {
        let all: usize = self.running.values().sum();
        let same = self.running.get(service).copied().unwrap_or_default();
        if all >= self.max || same >= self.max.div_ceil(2) {
            return false;
        }
        *self.running.entry(service.clone()).or_default() += 1;
        true
    }

    /// Records that a request for a service has ended.
    pub fn end(&mut self, service: &ServiceName) {
        if let Some(running) = self.running.get_mut(service) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.running.remove(service);
            }
        }
    }

    /// Returns how many bytes the requests in progress take.
    pub fn bytes(&self) -> u64 {
        let all: usize = self.running.values().sum();
        all as u64 * REQUEST_BYTES
    }
}
