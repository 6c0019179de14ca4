//! The requests that wait for a slot.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::AdmissionRequest;
use super::Ticket;
use crate::document::spec::Priority;
use crate::time::Moment;

/// Orders waiting requests by priority, then by deadline.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    requests: BTreeMap<QueuePosition, AdmissionRequest>,
}

/// A position in the queue; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: Reverse<Priority>,
    deadline: Moment,
    ticket: Ticket,
}

impl WaitQueue {
    /// Adds a request.
    pub fn insert(&mut self, request: AdmissionRequest) {
        self.requests.insert(QueuePosition::of(&request), request);
    }

    /// Removes and returns the first request.
    pub fn pop_first(&mut self) -> Option<AdmissionRequest> {
        self.requests.pop_first().map(|(_, request)| request)
    }

    /// Removes and returns the last request.
    pub fn pop_last(&mut self) -> Option<AdmissionRequest> {
        self.requests.pop_last().map(|(_, request)| request)
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) {
        self.requests
            .retain(|position, _| position.ticket != ticket);
    }

    /// Removes every request whose deadline is no later than `now` plus `latency`.
    pub fn remove_late(&mut self, now: Moment, latency: Duration) -> Vec<Ticket> {
        let earliest = now + latency;
        let late: Vec<QueuePosition> = self
            .requests
            .keys()
            .copied()
            .filter(|position| position.deadline <= earliest)
            .collect();
        for position in &late {
            self.requests.remove(position);
        }
        late.into_iter().map(|position| position.ticket).collect()
    }

    /// Returns how many requests would be served before `request`.
    pub fn ahead_of(&self, request: &AdmissionRequest) -> usize {
        self.requests.range(..QueuePosition::of(request)).count()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}

impl QueuePosition {
    fn of(request: &AdmissionRequest) -> Self {
        Self {
            priority: Reverse(request.priority),
            deadline: request.deadline,
            ticket: request.ticket,
        }
    }
}
