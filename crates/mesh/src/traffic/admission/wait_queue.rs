//! The requests that wait for a slot.

use std::collections::BTreeMap;

use quetzalrack_core::time::Moment;

use super::AdmissionRequest;
use super::Ticket;

/// Orders waiting requests by class, then by objective or, for late requests, by deadline.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    requests: BTreeMap<QueuePosition, AdmissionRequest>,
    positions: BTreeMap<Ticket, QueuePosition>,
}

/// Orders requests by rank, and within a rank puts those first that can still meet their objective.
///
/// Rank goes first because an urgent request is often a call on which a request at another server
/// depends: a late response is still useful, and without one that other request fails after its work
/// is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PriorityClass {
    pub(super) rank: u32,
    pub(super) late: bool,
}

/// The position of a request in the queue; smaller ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) class: PriorityClass,
    time: Moment,
    ticket: Ticket,
}

impl QueuePosition {
    fn of(request: &AdmissionRequest, late: bool) -> Self {
        Self {
            class: PriorityClass {
                rank: request.rank,
                late,
            },
            time: match late {
                true => request.deadline,
                false => request.objective,
            },
            ticket: request.ticket,
        }
    }
}

impl WaitQueue {
    pub(super) fn insert(&mut self, request: AdmissionRequest, late: bool) {
        let position = QueuePosition::of(&request, late);
        self.positions.insert(request.ticket, position);
        self.requests.insert(position, request);
    }

    pub(super) fn first(&self) -> Option<(QueuePosition, &AdmissionRequest)> {
        self.requests
            .first_key_value()
            .map(|(position, request)| (*position, request))
    }

    /// Removes and returns the first request, with its class.
    pub(super) fn pop_first(&mut self) -> Option<(AdmissionRequest, PriorityClass)> {
        let (position, request) = self.requests.pop_first()?;
        self.positions.remove(&request.ticket);
        Some((request, position.class))
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let position = self.positions.remove(&ticket)?;
        self.requests.remove(&position)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many waiting requests would go before this one, given whether it is late.
    pub(super) fn ahead(&self, request: &AdmissionRequest, late: bool) -> usize {
        self.requests
            .range(..QueuePosition::of(request, late))
            .count()
    }

    /// Returns the requests with their positions, the first one first.
    pub(super) fn entries(&self) -> impl Iterator<Item = (QueuePosition, &AdmissionRequest)> {
        let entries = self.requests.iter();
        entries.map(|(position, request)| (*position, request))
    }

    pub(super) fn requests(&self) -> impl Iterator<Item = &AdmissionRequest> {
        self.requests.values()
    }

    /// Returns the tickets of the requests that match `predicate`, which also gets whether a request
    /// is late.
    pub(super) fn tickets_of<F>(&self, predicate: F) -> Vec<Ticket>
    where
        F: Fn(&AdmissionRequest, bool) -> bool,
    {
        let matching = self
            .requests
            .iter()
            .filter(|(position, request)| predicate(request, position.class.late));
        matching.map(|(_, request)| request.ticket).collect()
    }

    /// Returns the late requests in the order of the queue.
    pub(super) fn late(&self) -> impl Iterator<Item = (PriorityClass, &AdmissionRequest)> {
        let late = self
            .requests
            .iter()
            .filter(|(position, _)| position.class.late);
        late.map(|(position, request)| (position.class, request))
    }

    /// Marks a request as late.
    pub(super) fn demote(&mut self, ticket: Ticket) {
        if let Some(request) = self.remove(ticket) {
            self.insert(request, true);
        }
    }
}
