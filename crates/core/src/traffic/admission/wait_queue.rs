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
    places: BTreeMap<Place, AdmissionRequest>,
}

/// A place in the line; the smallest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: Reverse<Priority>,
    deadline: Moment,
    ticket: Ticket,
}

impl WaitQueue {
    /// Adds a request.
    pub fn insert(&mut self, work: AdmissionRequest) {
        self.places.insert(Place::of(&work), work);
    }

    /// Takes the first request out.
    pub fn pop_first(&mut self) -> Option<AdmissionRequest> {
        self.places.pop_first().map(|(_, work)| work)
    }

    /// Takes the last request out.
    pub fn pop_last(&mut self) -> Option<AdmissionRequest> {
        self.places.pop_last().map(|(_, work)| work)
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) {
        self.places.retain(|place, _| place.ticket != ticket);
    }

    /// Takes out every request whose deadline comes before `now` plus the time an answer takes.
    pub fn remove_hopeless(&mut self, now: Moment, answer: Duration) -> Vec<Ticket> {
        let earliest = now + answer;
        let hopeless: Vec<Place> = self
            .places
            .keys()
            .copied()
            .filter(|place| place.deadline <= earliest)
            .collect();
        for place in &hopeless {
            self.places.remove(place);
        }
        hopeless.into_iter().map(|place| place.ticket).collect()
    }

    /// Returns how many requests would be served before `work`.
    pub fn ahead_of(&self, work: &AdmissionRequest) -> usize {
        self.places.range(..Place::of(work)).count()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}

impl Place {
    fn of(work: &AdmissionRequest) -> Self {
        Self {
            priority: Reverse(work.priority),
            deadline: work.deadline,
            ticket: work.ticket,
        }
    }
}
