//! The state machine of admission.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;

use super::AdmissionRequest;
use super::ColdStartLimiter;
use super::ResponseSample;
use super::Ticket;
use super::admission_rates::AdmissionRates;
use super::forecast::NEEDED;
use super::forecast::NEEDED_IN_TIME;
use super::service_times::ServiceTimes;
use super::wait_queue::PriorityClass;
use super::wait_queue::WaitQueue;
use crate::model::LinkRate;
use crate::traffic::RefusalReason;
use crate::traffic::link::LinkBacklog;
use crate::traffic::link::ResponseSizes;

/// How long the link may be busy when a request with a large answer is started, beside the time that
/// its work takes: enough for the link never to run dry, short enough for the rest to wait here, where
/// they can be refused.
const LINK_AHEAD: Duration = Duration::from_millis(60);
/// The shortest time after which a refused caller is asked to come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(150);
/// The longest.
const LONGEST_RETURN: Duration = Duration::from_millis(1_500);

/// Is what admission asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Send the request.
    Admit(Ticket),
    /// Refuse it; there may be room after this time.
    Refuse(Ticket, RefusalReason, Duration),
}

/// Admits as many requests as the server has slots and the link carries answers, the most useful
/// first.
///
/// More than its slots would wait in the server's own queue, where nothing can be put before them
/// or taken back, and where a later refusal counts as an arrival.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    pub(super) slots: usize,
    pub(super) running: BTreeSet<Ticket>,
    pub(super) short: WaitQueue,
    pub(super) large: WaitQueue,
    pub(super) starts: AdmissionRates,
    pub(super) pace: ServiceTimes,
    pub(super) sizes: ResponseSizes,
    pub(super) backlog: LinkBacklog,
    pub(super) cold: ColdStartLimiter,
}

impl Admission {
    /// Sets how many requests the server works on at once; none while it may get no work.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Sets what the host's link carries.
    pub fn set_link(&mut self, rate: Option<LinkRate>) {
        self.backlog.set_rate(rate);
    }

    /// Returns the gate for a cold server.
    pub fn cold_limiter(&mut self) -> &mut ColdStartLimiter {
        &mut self.cold
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.short.len() + self.large.len()
    }

    /// Returns how long the requests that make up most of the server's work take; zero before the
    /// first.
    pub fn weighted_time(&self) -> Duration {
        self.pace.of_most_work()
    }

    /// Returns how long a request of a route keeps a slot.
    pub fn service_time(&self, route: &RouteName) -> Duration {
        self.pace.steady(route)
    }

    /// Returns how long the link is busy with the large answers of the requests that are here.
    pub fn link_time(&mut self, now: Moment) -> Duration {
        let waiting: f64 = self
            .large
            .jobs()
            .filter_map(|job| self.sizes.large(&job.route))
            .sum();
        self.backlog.time(now) + self.backlog.time_for(waiting)
    }

    /// Takes a request; it starts, waits, or is refused.
    pub fn arrive(&mut self, now: Moment, job: AdmissionRequest) -> Vec<AdmissionAction> {
        let wait = self.expected_wait(now, &job);
        let soonest = now + self.finish(now, &job, wait, NEEDED);
        let late = self.is_late(now, &job, wait);
        if soonest > job.deadline || (late && self.is_crowded(now, &job)) {
            let back = self.return_time(wait);
            return vec![AdmissionAction::Refuse(
                job.ticket,
                RefusalReason::Full,
                back,
            )];
        }
        self.line(&job.route).insert(job, late);
        self.dispatch(now)
    }

    /// Takes back a request that nobody waits for.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.short.remove(ticket);
        self.large.remove(ticket);
    }

    /// Learns that a request has ended, and how if it was answered.
    pub fn end(
        &mut self,
        now: Moment,
        ticket: Ticket,
        answered: Option<ResponseSample<'_>>,
    ) -> Vec<AdmissionAction> {
        self.running.remove(&ticket);
        if let Some(answered) = answered {
            self.pace.learn(answered.route, answered.service_time);
            self.sizes.learn(answered.route, answered.bytes);
        }
        let bytes = answered.map_or(0, |answered| answered.bytes);
        self.backlog.end(now, ticket, bytes as f64);
        self.dispatch(now)
    }

    /// Starts what can start and refuses what has become hopeless.
    pub fn dispatch(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.demote_late(now);
        self.drop_hopeless(now, &mut actions);
        while self.running.len() < self.slots && self.cold.admit_delay(now).is_none() {
            let Some((job, class)) = self.pop_first(now) else {
                break;
            };
            self.starts.count(now, class);
            if let Some(bytes) = self.sizes.large(&job.route) {
                self.backlog.begin(job.ticket, bytes);
            }
            self.cold.record_admitted(now);
            self.running.insert(job.ticket);
            actions.push(AdmissionAction::Admit(job.ticket));
        }
        actions
    }

    /// Returns when `dispatch` has something to do although nothing happens.
    pub fn next_dispatch(&mut self, now: Moment) -> Option<Duration> {
        if self.waiting() == 0 {
            return None;
        }
        self.cold.admit_delay(now)
    }

    /// Takes the most useful request for which there is room at the server and on the link.
    fn pop_first(&mut self, now: Moment) -> Option<(AdmissionRequest, PriorityClass)> {
        let large = self.large.first().map(|(place, job)| (place, &job.route));
        let open =
            large.filter(|(_, route)| self.backlog.time(now) <= self.pace.of(route) + LINK_AHEAD);
        let large = open.map(|(place, _)| place);
        let short = self.short.first().map(|(place, _)| place);
        match (short, large) {
            (Some(short), Some(large)) if large < short => self.large.pop_first(),
            (Some(_), _) => self.short.pop_first(),
            (None, Some(_)) => self.large.pop_first(),
            (None, None) => None,
        }
    }

    fn line(&mut self, route: &RouteName) -> &mut WaitQueue {
        match self.sizes.large(route) {
            Some(_) => &mut self.large,
            None => &mut self.short,
        }
    }

    fn return_time(&self, wait: Duration) -> Duration {
        wait.clamp(SHORTEST_RETURN, LONGEST_RETURN)
    }

    /// Puts behind the others what can't meet its objective any more. By deadline alone, a burst
    /// would make every later answer late too.
    fn demote_late(&mut self, now: Moment) {
        for large in [false, true] {
            let line = if large { &self.large } else { &self.short };
            let late = line.tickets_of(|job, late| {
                !late && now + self.needed(job, NEEDED_IN_TIME) > job.objective
            });
            let line = if large {
                &mut self.large
            } else {
                &mut self.short
            };
            for ticket in late {
                line.demote(ticket);
            }
        }
    }

    fn drop_hopeless(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        let hopeless = |job: &AdmissionRequest, _| now + self.needed(job, NEEDED) > job.deadline;
        let short = self.short.tickets_of(hopeless);
        let large = self.large.tickets_of(hopeless);
        for ticket in short.into_iter().chain(large) {
            self.refuse(ticket, RefusalReason::Expired, actions);
        }
        // Without this a late request would be held until its time is over, though it was clear long
        // before that others take all turns; its caller could have come back meanwhile.
        for ticket in self.waiting_in_vain(now) {
            self.refuse(ticket, RefusalReason::Full, actions);
        }
    }

    fn refuse(
        &mut self,
        ticket: Ticket,
        reason: RefusalReason,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.cancel(ticket);
        actions.push(AdmissionAction::Refuse(ticket, reason, SHORTEST_RETURN));
    }
}
