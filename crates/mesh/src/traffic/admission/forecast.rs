//! When a waiting request would be served, and whether waiting is worthwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzalrack_core::time::Moment;

use super::Admission;
use super::AdmissionRequest;
use super::Ticket;
use super::wait_queue::PriorityClass;

/// The multiple of a route's mean service time that must be left until the deadline when a request
/// starts. Service times vary widely around their mean, so many responses take less.
pub(super) const MIN_TIME_FACTOR: f64 = 0.7;
/// The multiple that must be left until the objective for a request to count as on time. With one or
/// less, a burst would delay every request to the last moment and most responses would be just too
/// late.
pub(super) const ON_TIME_FACTOR: f64 = 1.4;
/// The multiple that must be left until the objective for a request that joins the queue. Under
/// overload the queue is as long as it may be, and with a lower factor every request would start at
/// the last moment: those that take a little longer than the mean would be late.
const ON_TIME_ARRIVAL_FACTOR: f64 = 2.2;
/// The share of the time until its objective that a request may always wait: on a slow server, twice
/// the mean service time exceeds the whole objective.
const ALLOWED_WAIT_SHARE: f64 = 0.15;

impl Admission {
    /// Returns the expected wait of a request for a slot.
    pub(super) fn expected_wait(&mut self, now: Moment, request: &AdmissionRequest) -> Duration {
        if self.slots == 0 {
            return Duration::ZERO;
        }
        let ahead = self.ahead(request, false);
        let turn = self.rate_limiter.interval().map(|interval| {
            let next = self.rate_limiter.admit_delay(now, self.running.len());
            next.unwrap_or_default() + interval * ahead as u32
        });
        let turn = turn.unwrap_or_default();
        let cold = self.cold_limiter.admit_delay(now).unwrap_or_default();
        if self.running.len() < self.slots {
            return cold.max(turn);
        }
        let rounds = (ahead + 1) as f64 / self.slots as f64;
        turn.max(cold + self.service_times.mean().mul_f64(rounds))
    }

    /// Returns the time until a request with the given wait is served, if it takes `factor` times
    /// the mean service time of its route.
    pub(super) fn completion_time(
        &mut self,
        now: Moment,
        request: &AdmissionRequest,
        wait: Duration,
        factor: f64,
    ) -> Duration {
        let served = wait + self.service_times.of(&request.route).mul_f64(factor);
        let Some(bytes) = self.sizes.large(&request.route) else {
            return served;
        };
        let ahead = self.large_queue.ahead(request, false) as f64;
        let link = self.backlog.time(now) + self.backlog.time_for(ahead * bytes);
        served.max(link) + self.transfer_time(bytes)
    }

    /// Returns whether a request that arrives now is expected to miss its objective.
    pub(super) fn is_late(
        &mut self,
        now: Moment,
        request: &AdmissionRequest,
        wait: Duration,
    ) -> bool {
        let left = request.objective.since(now);
        let has_margin = self.completion_time(now, request, wait, ON_TIME_ARRIVAL_FACTOR) <= left;
        let short_wait = wait <= left.mul_f64(ALLOWED_WAIT_SHARE);
        !(has_margin
            || short_wait && self.completion_time(now, request, wait, ON_TIME_FACTOR) <= left)
    }

    /// Returns whether a late request would not get a slot in time because the requests ahead of it
    /// are admitted too rarely.
    pub(super) fn would_starve(&mut self, now: Moment, request: &AdmissionRequest) -> bool {
        if let Some(interval) = self.binding_interval() {
            return !self.gets_late_turn(now, request, interval);
        }
        let ahead = self.ahead(request, true);
        let class = PriorityClass {
            rank: request.rank,
            late: true,
        };
        let rate = self
            .rates
            .rate(now, class, self.capacity(self.service_times.mean()));
        let wait = (ahead + 1) as f64 / rate;
        ahead > 0 && wait > request.deadline.since(now).as_secs_f64()
    }

    /// Returns whether a late request may wait for a turn of a rate-limited server.
    fn gets_late_turn(
        &mut self,
        now: Moment,
        request: &AdmissionRequest,
        interval: Duration,
    ) -> bool {
        let next = self.rate_limiter.admit_delay(now, self.running.len());
        let ahead = self.ahead(request, true);
        let turn = now + next.unwrap_or_default() + interval * ahead as u32;
        let last_start = request
            .deadline
            .before(self.required_time(request, MIN_TIME_FACTOR));
        if turn > last_start {
            return false;
        }
        let late = self.short_queue.late().chain(self.large_queue.late());
        let waiting = late.filter(|(class, _)| class.rank <= request.rank).count();
        let has_room = self.late_allowance.has_room(now, waiting);
        if !has_room {
            self.late_allowance.record_turned_away(last_start);
        }
        has_room
    }

    /// Returns the time from one turn to the next if the server's rate limit is lower than what its slots allow.
    fn binding_interval(&self) -> Option<Duration> {
        let interval = self.rate_limiter.interval()?;
        let by_slots = self.slots as f64 * interval.as_secs_f64();
        (by_slots > self.service_times.mean().as_secs_f64()).then_some(interval)
    }

    /// Looks for turns of a rate-limited server that nothing waited for.
    pub(super) fn record_idle_turns(&mut self, now: Moment) {
        if let Some(interval) = self.binding_interval()
            && self.waiting() == 0
            && self.running.len() < self.slots
        {
            let turn = self.rate_limiter.next_admission();
            self.late_allowance.record_idle(now, turn, interval);
        }
    }

    /// Returns the waiting late requests that will not get a slot in time, given the number of
    /// requests of their class ahead of them and the rate at which that class is admitted.
    pub(super) fn starving(&mut self, now: Moment) -> Vec<Ticket> {
        if self.binding_interval().is_some() {
            return Vec::new();
        }
        // A slowdown of the server for tenths of a second is no reason to refuse requests that
        // already wait.
        let capacity = self.capacity(self.service_times.best_mean());
        let late = self.short_queue.late().chain(self.large_queue.late());
        let late: Vec<(PriorityClass, Ticket, Duration)> = late
            .map(|(class, request)| {
                let last_start = request
                    .deadline
                    .before(self.required_time(request, MIN_TIME_FACTOR));
                (class, request.ticket, last_start.since(now))
            })
            .collect();
        let mut before: BTreeMap<PriorityClass, usize> = BTreeMap::new();
        let mut starving = Vec::new();
        for (class, ticket, left) in late {
            let before = before.entry(class).or_default();
            let wait = (*before + 1) as f64 / self.rates.rate(now, class, capacity);
            match wait > left.as_secs_f64() {
                true => starving.push(ticket),
                false => *before += 1,
            }
        }
        starving
    }

    /// Returns the waiting requests whose turn, at the server's rate limit, comes too late to meet their
    /// deadline, and whether they are late. The limit may have been named while they waited.
    pub(super) fn without_turn(&self, now: Moment) -> Vec<(Ticket, bool)> {
        let Some(interval) = self.rate_limiter.interval() else {
            return Vec::new();
        };
        let next = self.rate_limiter.admit_delay(now, self.running.len());
        let mut turn = now + next.unwrap_or_default();
        let mut waiting: Vec<_> = self
            .short_queue
            .entries()
            .chain(self.large_queue.entries())
            .collect();
        waiting.sort_unstable_by_key(|(position, _)| *position);
        let mut refused = Vec::new();
        for (position, request) in waiting {
            if turn + self.required_time(request, MIN_TIME_FACTOR) > request.deadline {
                refused.push((request.ticket, position.class.late));
            } else {
                turn = turn + interval;
            }
        }
        refused
    }

    /// Returns how many requests per second the server can start if each takes `service_time`.
    fn capacity(&self, service_time: Duration) -> f64 {
        let seconds = service_time.as_secs_f64().max(f64::MIN_POSITIVE);
        let by_slots = self.slots as f64 / seconds;
        let limit = self.rate_limiter.interval();
        limit.map_or(by_slots, |interval| {
            by_slots.min(1.0 / interval.as_secs_f64())
        })
    }

    /// Returns how many waiting requests would go before this one, given whether it is late.
    fn ahead(&self, request: &AdmissionRequest, late: bool) -> usize {
        self.short_queue.ahead(request, late) + self.large_queue.ahead(request, late)
    }

    pub(super) fn required_time(&self, request: &AdmissionRequest, factor: f64) -> Duration {
        let bytes = self.sizes.large(&request.route).unwrap_or_default();
        self.service_times.of(&request.route).mul_f64(factor) + self.transfer_time(bytes)
    }

    /// Returns the transfer time of a response: over this host's link, and then over that of the
    /// client's node, whose rate is assumed to be equal.
    fn transfer_time(&self, bytes: f64) -> Duration {
        self.backlog.time_for(bytes) * 2
    }
}
