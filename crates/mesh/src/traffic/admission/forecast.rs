//! When a request would be answered, and whether it is worth waiting.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::Admission;
use super::AdmissionRequest;
use super::Ticket;
use super::wait_queue::PriorityClass;

/// The share of a request's usual time that must be left at its turn. Work is spread widely around
/// its mean, so many answers come in less.
pub(super) const NEEDED: f64 = 0.7;
/// The share that must be left until its objective to count as in time. With one or less, a burst
/// would hold every request to the last moment and answer most of them just too late.
pub(super) const NEEDED_IN_TIME: f64 = 1.4;
/// The share that a request leaves which joins the line. While more come than can be served, the line
/// is as long as it may be, and with no more than is needed every request would start at the last
/// moment: work that takes a little longer than usual would be late.
const NEEDED_AT_ARRIVAL: f64 = 2.2;
/// The part of the time until its objective that a request may wait in any case: on a slow server
/// twice the usual time is more than the whole objective.
const WAIT_IN_ANY_CASE: f64 = 0.15;

impl Admission {
    /// Returns how long a request waits for a slot.
    pub(super) fn expected_wait(&mut self, now: Moment, job: &AdmissionRequest) -> Duration {
        if self.slots == 0 {
            return Duration::ZERO;
        }
        let cold = self.cold.admit_delay(now).unwrap_or_default();
        if self.running.len() < self.slots {
            return cold;
        }
        let ahead = self.ahead(job, false);
        let turns = (ahead + 1) as f64 / self.slots as f64;
        cold + self.pace.mean().mul_f64(turns)
    }

    /// Returns after which time a request that waits for so long is answered, if its work takes
    /// `share` of its usual time.
    pub(super) fn finish(
        &mut self,
        now: Moment,
        job: &AdmissionRequest,
        wait: Duration,
        share: f64,
    ) -> Duration {
        let worked = wait + self.pace.of(&job.route).mul_f64(share);
        let Some(bytes) = self.sizes.large(&job.route) else {
            return worked;
        };
        let ahead = self.large.ahead(job, false) as f64;
        let link = self.backlog.time(now) + self.backlog.time_for(ahead * bytes);
        worked.max(link) + self.carried(bytes)
    }

    /// Tells whether a request that arrives now will miss its objective, by what is known.
    pub(super) fn is_late(&mut self, now: Moment, job: &AdmissionRequest, wait: Duration) -> bool {
        let left = job.objective.since(now);
        let roomy = self.finish(now, job, wait, NEEDED_AT_ARRIVAL) <= left;
        let soon = wait <= left.mul_f64(WAIT_IN_ANY_CASE);
        !(roomy || soon && self.finish(now, job, wait, NEEDED_IN_TIME) <= left)
    }

    /// Tells whether a request that is late anyway would wait in vain: those before it are started
    /// too rarely.
    pub(super) fn is_crowded(&mut self, now: Moment, job: &AdmissionRequest) -> bool {
        let ahead = self.ahead(job, true);
        let class = PriorityClass {
            rank: job.rank,
            late: true,
        };
        let rate = self
            .starts
            .rate(now, class, self.usual_rate(self.pace.mean()));
        let wait = (ahead + 1) as f64 / rate;
        ahead > 0 && wait > job.deadline.since(now).as_secs_f64()
    }

    /// Returns those of the waiting late requests that will not get their turn in time: so many of their
    /// class go before them that, at the rate at which these are started, it comes too late.
    pub(super) fn waiting_in_vain(&mut self, now: Moment) -> Vec<Ticket> {
        // A server slowed down for tenths of a second is no reason to refuse what waits already.
        let usual = self.usual_rate(self.pace.best_mean());
        let late = self.short.late().chain(self.large.late());
        let late: Vec<(PriorityClass, Ticket, Duration)> = late
            .map(|(class, job)| {
                let last_start = job.deadline.before(self.needed(job, NEEDED));
                (class, job.ticket, last_start.since(now))
            })
            .collect();
        let mut before: BTreeMap<PriorityClass, usize> = BTreeMap::new();
        let mut vain = Vec::new();
        for (class, ticket, left) in late {
            let before = before.entry(class).or_default();
            let wait = (*before + 1) as f64 / self.starts.rate(now, class, usual);
            match wait > left.as_secs_f64() {
                true => vain.push(ticket),
                false => *before += 1,
            }
        }
        vain
    }

    /// Returns how many requests a second the server can start if they take `pace`.
    fn usual_rate(&self, pace: Duration) -> f64 {
        let pace = pace.as_secs_f64().max(f64::MIN_POSITIVE);
        self.slots as f64 / pace
    }

    /// Returns how many would go before a request that is late or not.
    fn ahead(&self, job: &AdmissionRequest, late: bool) -> usize {
        self.short.ahead(job, late) + self.large.ahead(job, late)
    }

    pub(super) fn needed(&self, job: &AdmissionRequest, share: f64) -> Duration {
        let bytes = self.sizes.large(&job.route).unwrap_or_default();
        self.pace.of(&job.route).mul_f64(share) + self.carried(bytes)
    }

    /// Returns how long an answer is on its way: over this host's link, and then from the client's
    /// node, whose link is taken to be as wide.
    fn carried(&self, bytes: f64) -> Duration {
        self.backlog.time_for(bytes) * 2
    }
}
