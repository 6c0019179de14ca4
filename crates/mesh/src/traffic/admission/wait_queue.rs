//! The requests that wait.

use std::collections::BTreeMap;

use quetzalrack_core::time::Moment;

use super::AdmissionRequest;
use super::Ticket;

/// Orders waiting requests by class, each class by its time.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    jobs: BTreeMap<QueuePosition, AdmissionRequest>,
    places: BTreeMap<Ticket, QueuePosition>,
}

/// Orders requests by rank, then by what their answers are worth: those that can still meet their
/// objective go before those that can't.
///
/// Rank goes first, since what is urgent is often a call for which a request elsewhere waits: late,
/// it is still of use, and without it that request's work was for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PriorityClass {
    pub(super) rank: u32,
    pub(super) late: bool,
}

/// Is a job's place; smaller ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) class: PriorityClass,
    time: Moment,
    ticket: Ticket,
}

impl QueuePosition {
    fn of(job: &AdmissionRequest, late: bool) -> Self {
        Self {
            class: PriorityClass {
                rank: job.rank,
                late,
            },
            time: match late {
                true => job.deadline,
                false => job.objective,
            },
            ticket: job.ticket,
        }
    }
}

impl WaitQueue {
    pub(super) fn insert(&mut self, job: AdmissionRequest, late: bool) {
        let place = QueuePosition::of(&job, late);
        self.places.insert(job.ticket, place);
        self.jobs.insert(place, job);
    }

    pub(super) fn first(&self) -> Option<(QueuePosition, &AdmissionRequest)> {
        self.jobs
            .first_key_value()
            .map(|(place, job)| (*place, job))
    }

    /// Takes the first job, with its class.
    pub(super) fn pop_first(&mut self) -> Option<(AdmissionRequest, PriorityClass)> {
        let (place, job) = self.jobs.pop_first()?;
        self.places.remove(&job.ticket);
        Some((job, place.class))
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let place = self.places.remove(&ticket)?;
        self.jobs.remove(&place)
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many would go before a job that is `late` or not.
    pub(super) fn ahead(&self, job: &AdmissionRequest, late: bool) -> usize {
        self.jobs.range(..QueuePosition::of(job, late)).count()
    }

    pub(super) fn jobs(&self) -> impl Iterator<Item = &AdmissionRequest> {
        self.jobs.values()
    }

    /// Returns the jobs for which `is_wanted` holds; it is also told whether they are late.
    pub(super) fn tickets_of<F>(&self, is_wanted: F) -> Vec<Ticket>
    where
        F: Fn(&AdmissionRequest, bool) -> bool,
    {
        let wanted = self
            .jobs
            .iter()
            .filter(|(place, job)| is_wanted(job, place.class.late));
        wanted.map(|(_, job)| job.ticket).collect()
    }

    /// Returns the late jobs, those that go first before the others.
    pub(super) fn late(&self) -> impl Iterator<Item = (PriorityClass, &AdmissionRequest)> {
        let late = self.jobs.iter().filter(|(place, _)| place.class.late);
        late.map(|(place, job)| (place.class, job))
    }

    /// Puts a job among the late ones.
    pub(super) fn demote(&mut self, ticket: Ticket) {
        if let Some(job) = self.remove(ticket) {
            self.insert(job, true);
        }
    }
}
