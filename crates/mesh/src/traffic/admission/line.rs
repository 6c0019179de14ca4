//! The requests that wait.

use std::collections::BTreeMap;

use quetzalrack_core::time::Moment;

use super::Job;
use super::Ticket;

/// Orders waiting requests by rank, then by what their answers are worth: those that can still
/// meet their objective go before those that can't, each group by its time.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    jobs: BTreeMap<Place, Job>,
    places: BTreeMap<Ticket, Place>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    late: bool,
    rank: u32,
    time: Moment,
    ticket: Ticket,
}

impl Line {
    pub(super) fn insert(&mut self, job: Job, late: bool) {
        let place = Place {
            late,
            rank: job.rank,
            time: match late {
                true => job.deadline,
                false => job.objective,
            },
            ticket: job.ticket,
        };
        self.places.insert(job.ticket, place);
        self.jobs.insert(place, job);
    }

    pub(super) fn pop_first(&mut self) -> Option<Job> {
        let (_, job) = self.jobs.pop_first()?;
        self.places.remove(&job.ticket);
        Some(job)
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Job> {
        let place = self.places.remove(&ticket)?;
        self.jobs.remove(&place)
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns how many go before a job of this rank that is in time.
    pub(super) fn ahead(&self, rank: u32, objective: Moment) -> usize {
        let place = Place {
            late: false,
            rank,
            time: objective,
            ticket: Ticket(0),
        };
        self.jobs.range(..place).count()
    }

    /// Takes out the jobs for which `is_wanted` does not hold.
    pub(super) fn take_if<F>(&mut self, is_taken: F) -> Vec<Job>
    where
        F: Fn(&Job, bool) -> bool,
    {
        let taken = self
            .jobs
            .iter()
            .filter(|(place, job)| is_taken(job, place.late));
        let tickets: Vec<Ticket> = taken.map(|(_, job)| job.ticket).collect();
        tickets
            .into_iter()
            .filter_map(|ticket| self.remove(ticket))
            .collect()
    }
}
