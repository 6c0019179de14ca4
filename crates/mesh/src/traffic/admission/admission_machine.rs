//! The state machine of admission control.

use std::collections::BTreeSet;
use std::time::Duration;

use quetzalrack_core::ids::RouteName;
use quetzalrack_core::time::Moment;

use super::AdmissionRequest;
use super::ColdStartLimiter;
use super::ResponseSample;
use super::ServerLimit;
use super::Ticket;
use super::admission_rates::AdmissionRates;
use super::forecast::MIN_TIME_FACTOR;
use super::forecast::ON_TIME_FACTOR;
use super::late_allowance::LateAllowance;
use super::rate_limiter::RateLimiter;
use super::service_times::ServiceTimes;
use super::wait_queue::PriorityClass;
use super::wait_queue::WaitQueue;
use crate::model::LinkRate;
use crate::traffic::RefusalReason;
use crate::traffic::link::LinkBacklog;
use crate::traffic::link::ResponseSizes;

/// How long the link may still be busy when a request with a large response is admitted, in addition
/// to the request's service time. Long enough for the link never to be idle, and short enough for
/// other requests to wait here, where they can be refused.
const LINK_LEAD: Duration = Duration::from_millis(60);
/// The shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The longest time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// An action that [`Admission`] requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The request has a slot and may be sent.
    Admit(Ticket),
    /// The request is refused; a retry may succeed after this time.
    Refuse(Ticket, RefusalReason, Duration),
}

/// Admits as many requests as the server has slots and the link can carry responses for, the most
/// useful first.
///
/// Requests beyond the slots would wait in the server's own queue, where they can neither be
/// reordered nor cancelled, and where a later refusal counts as a request that reached the server.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    pub(super) slots: usize,
    pub(super) running: BTreeSet<Ticket>,
    /// Requests whose responses are not large.
    pub(super) short_queue: WaitQueue,
    /// Requests whose responses are large.
    pub(super) large_queue: WaitQueue,
    pub(super) rates: AdmissionRates,
    pub(super) service_times: ServiceTimes,
    pub(super) sizes: ResponseSizes,
    pub(super) backlog: LinkBacklog,
    pub(super) cold_limiter: ColdStartLimiter,
    pub(super) rate_limiter: RateLimiter,
    pub(super) late_allowance: LateAllowance,
}

impl Admission {
    /// Sets how many requests the server runs at once; zero while it must not get any.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Sets the rate of the host's link.
    pub fn set_link(&mut self, rate: Option<LinkRate>) {
        self.backlog.set_rate(rate);
    }

    /// Returns the limiter for a cold server.
    pub fn cold_limiter(&mut self) -> &mut ColdStartLimiter {
        &mut self.cold_limiter
    }

    /// Sets the rate limit that the server names.
    pub fn set_limit(&mut self, limit: ServerLimit) {
        let was_limited = self.rate_limiter.interval().is_some();
        self.rate_limiter.set_limit(limit);
        if self.rate_limiter.interval().is_some() != was_limited {
            // What was seen with the other kind of limit says nothing of the turns after it.
            self.rates.clear();
            self.late_allowance = LateAllowance::default();
        }
    }

    /// Sets when this process started.
    pub fn set_started(&mut self, now: Moment) {
        self.rate_limiter.set_started(now);
    }

    /// Counts a request that is sent to the server now. If it must not be sent yet, returns the delay
    /// until the next attempt instead.
    pub fn try_send(&mut self, now: Moment) -> Option<Duration> {
        let wait = self
            .rate_limiter
            .send_delay(now)
            .or_else(|| self.cold_limiter.try_send(now));
        if wait.is_none() {
            self.rate_limiter.record_sent(now);
        }
        wait
    }

    /// Returns how many requests the server can run at once: as many as it has slots, or as keep it busy
    /// at its rate limit.
    pub fn effective_slots(&self) -> usize {
        let Some(interval) = self.rate_limiter.interval() else {
            return self.slots;
        };
        let time = match self.weighted_time() {
            Duration::ZERO => self.service_times.mean(),
            time => time,
        };
        let busy = (time.as_secs_f64() / interval.as_secs_f64()).round() as usize;
        self.slots.min(busy.max(1))
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.short_queue.len() + self.large_queue.len()
    }

    /// Returns the mean service time weighted by service time, which is that of the requests that
    /// make up most of the server's work; zero before the first response.
    pub fn weighted_time(&self) -> Duration {
        self.service_times.weighted_mean()
    }

    /// Returns how long a request of a route occupies a slot.
    pub fn service_time(&self, route: &RouteName) -> Duration {
        self.service_times.steady(route)
    }

    /// Returns how long the link is busy with the large responses of the waiting and running
    /// requests.
    pub fn link_time(&mut self, now: Moment) -> Duration {
        let waiting: f64 = self
            .large_queue
            .requests()
            .filter_map(|request| self.sizes.large(&request.route))
            .sum();
        self.backlog.time(now) + self.backlog.time_for(waiting)
    }

    /// Handles a new request, which is admitted, queued or refused.
    pub fn arrive(&mut self, now: Moment, request: AdmissionRequest) -> Vec<AdmissionAction> {
        self.record_idle_turns(now);
        let wait = self.expected_wait(now, &request);
        let earliest = now + self.completion_time(now, &request, wait, MIN_TIME_FACTOR);
        let late = self.is_late(now, &request, wait);
        if earliest > request.deadline || (late && self.would_starve(now, &request)) {
            let after = self.retry_after(now, wait);
            return vec![AdmissionAction::Refuse(
                request.ticket,
                RefusalReason::Full,
                after,
            )];
        }
        self.queue(&request.route).insert(request, late);
        self.dispatch(now)
    }

    /// Removes a waiting request whose caller is gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.short_queue.remove(ticket);
        self.large_queue.remove(ticket);
    }

    /// Records that a request has ended, with its response if there was one.
    pub fn end(
        &mut self,
        now: Moment,
        ticket: Ticket,
        response: Option<ResponseSample<'_>>,
    ) -> Vec<AdmissionAction> {
        self.running.remove(&ticket);
        if let Some(response) = response {
            self.service_times
                .record(response.route, response.service_time);
            self.sizes.record(response.route, response.bytes);
        }
        let bytes = response.map_or(0, |response| response.bytes);
        self.backlog.end(now, ticket, bytes as f64);
        self.dispatch(now)
    }

    /// Admits the requests for which there is room, and refuses those that can't be served in time
    /// any more.
    pub fn dispatch(&mut self, now: Moment) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        self.demote_late(now);
        self.refuse_late(now, &mut actions);
        while self.running.len() < self.slots && self.admit_delay(now).is_none() {
            let Some((request, class)) = self.pop_first(now) else {
                break;
            };
            self.rates.record(now, class);
            if class.late {
                self.late_allowance.record_served();
            }
            if let Some(bytes) = self.sizes.large(&request.route) {
                self.backlog.begin(request.ticket, bytes);
            }
            self.cold_limiter.record_admitted(now);
            self.rate_limiter.record_admitted(now);
            self.running.insert(request.ticket);
            actions.push(AdmissionAction::Admit(request.ticket));
        }
        actions
    }

    /// Returns after which time [`Self::dispatch`] is due even without another event.
    pub fn next_dispatch(&mut self, now: Moment) -> Option<Duration> {
        if self.waiting() == 0 {
            return None;
        }
        self.admit_delay(now)
    }

    /// Returns how long the next request has to wait although a slot may be free; none if it does not
    /// have to.
    pub(super) fn admit_delay(&mut self, now: Moment) -> Option<Duration> {
        let limited = self.rate_limiter.admit_delay(now, self.running.len());
        self.cold_limiter.admit_delay(now).max(limited)
    }

    /// Removes and returns the most useful request for which the server and the link have room.
    fn pop_first(&mut self, now: Moment) -> Option<(AdmissionRequest, PriorityClass)> {
        let large = self
            .large_queue
            .first()
            .map(|(position, request)| (position, &request.route));
        let admissible = large.filter(|(_, route)| {
            self.backlog.time(now) <= self.service_times.of(route) + LINK_LEAD
        });
        let large = admissible.map(|(position, _)| position);
        let short = self.short_queue.first().map(|(position, _)| position);
        match (short, large) {
            (Some(short), Some(large)) if large < short => self.large_queue.pop_first(),
            (Some(_), _) => self.short_queue.pop_first(),
            (None, Some(_)) => self.large_queue.pop_first(),
            (None, None) => None,
        }
    }

    fn queue(&mut self, route: &RouteName) -> &mut WaitQueue {
        match self.sizes.large(route) {
            Some(_) => &mut self.large_queue,
            None => &mut self.short_queue,
        }
    }

    fn retry_after(&mut self, now: Moment, wait: Duration) -> Duration {
        match self.rate_limiter.interval() {
            None => wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            Some(interval) => {
                let turn = self.rate_limiter.admit_delay(now, self.running.len());
                let queue = turn.unwrap_or_default() + interval * self.waiting() as u32;
                let after = self.rate_limiter.return_after(now, wait.max(queue));
                after.max(MIN_RETRY_AFTER)
            }
        }
    }

    /// Moves requests that can't meet their objective any more behind the others. If requests were
    /// ordered by deadline alone, a burst would make every later response late too.
    fn demote_late(&mut self, now: Moment) {
        for large in [false, true] {
            let queue = if large {
                &self.large_queue
            } else {
                &self.short_queue
            };
            let late = queue.tickets_of(|request, late| {
                !late && now + self.required_time(request, ON_TIME_FACTOR) > request.objective
            });
            let queue = if large {
                &mut self.large_queue
            } else {
                &mut self.short_queue
            };
            for ticket in late {
                queue.demote(ticket);
            }
        }
    }

    fn refuse_late(&mut self, now: Moment, actions: &mut Vec<AdmissionAction>) {
        let is_too_late = |request: &AdmissionRequest, _| {
            now + self.required_time(request, MIN_TIME_FACTOR) > request.deadline
        };
        let short = self.short_queue.tickets_of(is_too_late);
        let large = self.large_queue.tickets_of(is_too_late);
        for ticket in short.into_iter().chain(large) {
            self.late_allowance.record_vain();
            self.refuse(now, ticket, RefusalReason::Expired, actions);
        }
        // Without this, a late request would wait until its deadline though it is clear long before
        // that other requests take all slots; its caller could have retried meanwhile.
        for ticket in self.starving(now) {
            self.refuse(now, ticket, RefusalReason::Full, actions);
        }
        for (ticket, late) in self.without_turn(now) {
            if late {
                self.late_allowance.record_vain();
            }
            self.refuse(now, ticket, RefusalReason::Full, actions);
        }
    }

    fn refuse(
        &mut self,
        now: Moment,
        ticket: Ticket,
        reason: RefusalReason,
        actions: &mut Vec<AdmissionAction>,
    ) {
        self.cancel(ticket);
        let after = self.retry_after(now, Duration::ZERO);
        actions.push(AdmissionAction::Refuse(ticket, reason, after));
    }
}
